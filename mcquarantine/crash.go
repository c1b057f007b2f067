package mcquarantine

import (
	"sort"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

type (
	// endpoint is the state of one endpoint: the attempts of this instance that run there.
	endpoint struct {
		// incarnation is the highest one that the endpoint reported, or 0.
		incarnation uint64
		// firstCut is the time of the first broken stream whose cause is not known yet, or
		// zero.
		firstCut time.Time
		running  map[marigoldcroft.StreamID]flight
	}

	flight struct {
		fingerprint Fingerprint
		begun       time.Time
		// cut is when the stream broke, or zero.
		cut time.Time
		// accused is true after the crash was counted against the fingerprint. The end of
		// the stream may be read later than the crash is detected; if the response turns
		// out to be complete, the request had finished and is cleared.
		accused bool
	}
)

// confirmWithin is the time after a broken stream within which a refused connection or a
// new incarnation shows that the endpoint crashed. Later evidence is ignored.
const confirmWithin = 5 * time.Second

// Cut records that an attempt's stream broke. A broken stream alone is no evidence of a
// crash: the caller probes the endpoint, and Refused or Answered reports whether it died.
func (g *Guard) Cut(now time.Time, endpointName string, id marigoldcroft.StreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.endpoint(endpointName)
	p.lapse(now)
	f, known := p.running[id]
	if !known {
		return
	}
	if f.accused {
		delete(p.running, id)
		return
	}
	f.cut = now
	p.running[id] = f
	if p.firstCut.IsZero() {
		p.firstCut = now
	}
}

// Refused records that the endpoint's host refused a connection, as it does when no process
// listens; a connection attempt that merely times out must not be reported. After a broken
// stream it shows that the endpoint crashed, and the crash is counted against all requests
// that were in flight there when the first stream broke. It returns the changed entries for
// the peers.
func (g *Guard) Refused(now time.Time, endpointName string) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.endpoint(endpointName)
	p.lapse(now)
	if p.firstCut.IsZero() {
		return nil
	}
	return g.accuse(now, p)
}

// Answered records the incarnation that the endpoint reported in response to a query sent
// at asked. A higher incarnation than before shows a crash and a restart. The same one
// shows that streams which broke before the query broke on the way, and clears their
// requests of suspicion.
func (g *Guard) Answered(now, asked time.Time, endpointName string, incarnation uint64) []*mcmessage.QuarantineEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.endpoint(endpointName)
	p.lapse(now)
	restarted := p.incarnation != 0 && incarnation > p.incarnation
	p.incarnation = max(p.incarnation, incarnation)
	if restarted && !p.firstCut.IsZero() {
		return g.accuse(now, p)
	}
	p.forgive(func(cut time.Time) bool { return !cut.After(asked) })
	return nil
}

// accuse counts one crash against each fingerprint that was in flight when the first stream
// broke.
func (g *Guard) accuse(now time.Time, p *endpoint) []*mcmessage.QuarantineEntry {
	accused := make(map[Fingerprint]bool)
	for id, f := range p.running {
		if f.accused || f.begun.After(p.firstCut) {
			continue
		}
		accused[f.fingerprint] = true
		if f.accused = true; f.cut.IsZero() {
			p.running[id] = f
		} else {
			delete(p.running, id)
		}
	}
	p.firstCut = time.Time{}
	messages := make([]*mcmessage.QuarantineEntry, 0, len(accused))
	for f := range accused {
		e := g.entryOf(now, f)
		e.crash(now)
		messages = append(messages, e.message(f))
	}
	sort.Slice(messages, func(i, j int) bool { return messages[i].Fingerprint < messages[j].Fingerprint })
	return messages
}

// lapse removes broken streams whose cause was not found within confirmWithin.
func (p *endpoint) lapse(now time.Time) {
	p.forgive(func(cut time.Time) bool { return now.Sub(cut) >= confirmWithin })
}

// forgive removes the broken streams that match and updates firstCut from the others.
func (p *endpoint) forgive(match func(cut time.Time) bool) {
	p.firstCut = time.Time{}
	for id, f := range p.running {
		switch {
		case f.cut.IsZero():
		case match(f.cut):
			delete(p.running, id)
		case p.firstCut.IsZero() || f.cut.Before(p.firstCut):
			p.firstCut = f.cut
		}
	}
}

func (g *Guard) endpoint(name string) *endpoint {
	p := g.endpoints[name]
	if p == nil {
		if g.endpoints == nil {
			g.endpoints = make(map[string]*endpoint)
		}
		p = &endpoint{running: make(map[marigoldcroft.StreamID]flight)}
		g.endpoints[name] = p
	}
	return p
}
