package mcquarantine

import (
	"sort"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

type (
	// endpoint is what this instance runs on one endpoint.
	endpoint struct {
		// incarnation is the last one that the endpoint reported, or 0.
		incarnation uint64
		// firstCut is when the first stream broke whose reason is not known yet.
		firstCut time.Time
		running  map[marigoldcroft.StreamID]flight
	}

	flight struct {
		fingerprint Fingerprint
		begun       time.Time
		// cut is when the stream broke, or zero.
		cut time.Time
		// accused is true after the endpoint's death. The stream's end may be read only
		// later; if it is whole, the request had finished and is cleared.
		accused bool
	}
)

// confirmWithin is the time after a broken stream in which a refused dial or a new
// incarnation shows that the endpoint died; later evidence accuses nobody.
const confirmWithin = 5 * time.Second

// Cut notes that an attempt's stream broke. That alone accuses nobody: the caller asks
// the endpoint, and Refused or Answered tells whether it died.
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

// Refused notes that the endpoint's host refused a connection, as it does when no
// process listens; a dial that merely times out must not be reported. After a broken
// stream the endpoint is dead, and all that was in flight there when the first stream
// broke is accused. It returns the changed entries for the peers.
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

// Answered notes that the endpoint answered a query sent at asked with its incarnation.
// A larger one than before shows a death and a restart; the same one shows that streams
// cut before the query broke on the way, and frees them of suspicion.
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

// accuse counts one crash against each fingerprint that was in flight at the death.
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

// lapse forgets cut streams whose reason stayed unknown for too long.
func (p *endpoint) lapse(now time.Time) {
	p.forgive(func(cut time.Time) bool { return now.Sub(cut) >= confirmWithin })
}

// forgive removes the cut streams that match and finds the first of the others.
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
