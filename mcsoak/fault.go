package mcsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// leavingTime is how long a leaving server keeps serving, entryLapseTime how long the
	// entry of a crashed server stays in the store.
	leavingTime    = 3 * time.Second
	entryLapseTime = 1500 * time.Millisecond
	// maxFaultTime bounds the random part of the length of a fault, maxFaultPause the
	// time between the starts of two faults.
	maxFaultTime  = 4 * time.Second
	maxFaultPause = 1200 * time.Millisecond
	// maxFaultRequests is the maximum number of requests that one server fault affects.
	maxFaultRequests = 12
	pollInterval     = 100 * time.Millisecond
	// endlessPause is the time between two bytes of a server that sends them at times.
	endlessPause = 200 * time.Millisecond
	// heartbeatTime is the time between two writes of a server's entry.
	heartbeatTime = 1200 * time.Millisecond
)

type (
	// fault is a kind of fault. inject starts it and returns when it is over. Server faults
	// return at once and last until they have affected their number of requests.
	fault struct {
		name   string
		inject func(s *Soak, random *rand.Rand)
	}

	// interval is a time interval; to is zero while it lasts.
	interval struct{ from, to time.Time }

	// disruption is the interval of a disruption of processes, links or the store.
	disruption struct {
		interval
		// fault is the name of the fault that caused it, or "" if no check needs to know.
		fault string
	}
)

// faults are all kinds of faults. Seeds select them by index, so their order must not change
// if the faults of a seed are to stay the same.
var faults = []fault{
	{"store refuses", storeFault(func(*rand.Rand) mcstandin.PlatformStoreFaults { return mcstandin.PlatformStoreFaults{Status: 503} })},
	{"store does not respond", storeFault(func(*rand.Rand) mcstandin.PlatformStoreFaults { return mcstandin.PlatformStoreFaults{Silent: true} })},
	{"store is slow", storeFault(func(r *rand.Rand) mcstandin.PlatformStoreFaults {
		return mcstandin.PlatformStoreFaults{SlowMs: 50 + r.Int64N(400)}
	})},
	{"store loses responses", storeFault(func(r *rand.Rand) mcstandin.PlatformStoreFaults {
		return mcstandin.PlatformStoreFaults{LostWrites: 0.5, LateMs: r.Int64N(1500)}
	})},
	{"store drops its history", func(s *Soak, _ *rand.Rand) { s.store.DropHistory() }},
	{"store link is impaired", func(s *Soak, r *rand.Rand) { s.impairLink(s.anyInstance(r).storeProxy, r) }},
	{"caller link is impaired", func(s *Soak, r *rand.Rand) { s.impairLink(s.anyInstance(r).callerProxy, r) }},
	{"server link is impaired", func(s *Soak, r *rand.Rand) { s.impairLink(s.anyServer(r).link, r) }},
	{"server crashes", func(s *Soak, r *rand.Rand) { s.replace(s.anyServer(r), (*Soak).crash) }},
	{"server leaves", func(s *Soak, r *rand.Rand) { s.replace(s.anyServer(r), (*Soak).leave) }},
	{"server misbehaves", func(s *Soak, r *rand.Rand) { s.anyServer(r).server.SetFaults(serverFaults(r)) }},
	{"all servers misbehave", func(s *Soak, r *rand.Rand) {
		for _, b := range s.currentServers() {
			b.server.SetFaults(serverFaults(r))
		}
	}},
	{"malformed entry", func(s *Soak, r *rand.Rand) {
		texts := []string{`{"service":7}`, `not json`, `{"service":"plain","address":"x","zone":"z","state":"ready"}`, `{"state":"asleep"}`}
		s.store.PutRawEntry(fmt.Sprintf("other-%d", r.IntN(3)), texts[r.IntN(len(texts))])
	}},
	{"instance is killed", func(s *Soak, r *rand.Rand) { s.restart(s.anyInstance(r), syscall.SIGKILL, r) }},
	{"instance is stopped", func(s *Soak, r *rand.Rand) { s.restart(s.anyInstance(r), syscall.SIGTERM, r) }},
	{"all instances are killed", func(s *Soak, r *rand.Rand) {
		for _, i := range s.instances {
			s.restart(i, syscall.SIGKILL, r)
		}
	}},
	{"instance is paused", func(s *Soak, r *rand.Rand) {
		i := s.anyInstance(r)
		s.disrupt(func() {
			i.signal(syscall.SIGSTOP)
			s.pause(faultDuration(r))
			i.signal(syscall.SIGCONT)
		})
	}},
	{"hangups", func(s *Soak, r *rand.Rand) {
		for range 1 + r.IntN(4) {
			i := s.anyInstance(r)
			i.mu.Lock()
			// The process may have exited already; the error is of no interest then.
			_ = i.command.Process.Signal(syscall.SIGHUP)
			i.mu.Unlock()
		}
	}},
	{"configuration changes", func(s *Soak, r *rand.Rand) {
		for range 1 + r.IntN(4) {
			s.configure(r.IntN(2) == 0)
			s.pause(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
		}
	}},
	{deadlyPartFault, (*Soak).sendDeadlyPart},
	{"leaving server's entry is overwritten", func(s *Soak, r *rand.Rand) {
		text, wait := oddEntries[r.IntN(len(oddEntries))], returnPause(r)
		s.replace(s.anyServer(r), func(s *Soak, b *backend) { s.leaveAndReturn(b, wait, text) })
	}},
	{"left server's entry returns", func(s *Soak, r *rand.Rand) {
		wait := returnPause(r)
		s.replace(s.anyServer(r), func(s *Soak, b *backend) { s.leaveAndReturn(b, wait, nil) })
	}},
	{"server's entry is overwritten", func(s *Soak, r *rand.Rand) {
		b := s.anyServer(r)
		if b.replacing.Swap(true) {
			return
		}
		defer b.replacing.Store(false)
		s.store.PutRawEntry(b.id, oddEntries[r.IntN(len(oddEntries))](b))
		s.pause(heartbeatTime)
		s.writeEntry(b, mcstandin.PlatformReady)
	}},
	{"server sends without end", func(s *Soak, r *rand.Rand) {
		b := s.anyServer(r)
		b.endless.Store(endlessServers[r.IntN(len(endlessServers))])
		b.endlessLeft.Store(1 + r.Int64N(maxFaultRequests))
	}},
	{"server restarts", func(s *Soak, r *rand.Rand) { s.restartBackend(s.anyServer(r), r) }},
	{"all servers of a service restart", func(s *Soak, _ *rand.Rand) {
		for _, b := range s.currentServers() {
			if b.service == coldService {
				s.activeFaults.Go(func() { s.restartBackend(b, rand.New(rand.NewPCG(s.Seed, uint64(b.started.UnixNano())))) })
			}
		}
	}},
	{evacuationFault, (*Soak).evacuate},
}

// endlessServers send bytes that are no answer, or an answer without end, until the caller closes.
var endlessServers = []*mcstandin.EndlessServer{
	{Rest: "x", Pause: endlessPause},
	{Rest: "these bytes are no answer "},
	{Start: endlessStart("200 OK", "X-A: "), Rest: "x", Pause: endlessPause},
	{Start: endlessStart("200 OK", ""), Rest: "X-A: b\r\n"},
	{Rest: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{Start: endlessStart("101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n\r\n"), Rest: "x", Pause: endlessPause},
	{Start: endlessStart("200 OK", "Response-Seal: s\r\nContent-Length: 1073741824\r\n\r\n"), Rest: "x", Pause: endlessPause},
	{Start: endlessStart("200 OK", "Response-Seal: s\r\n\r\n"), Rest: "x"},
	{Start: endlessStart("500 Error", "Content-Length: 1073741824\r\n\r\n"), Rest: "x", Pause: endlessPause},
}

// endlessStart returns a function that returns the first bytes of an answer to a request.
func endlessStart(status, fields string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\n" + fields
	}
}

// oddEntries are entries that another program writes in place of a server's own: with a field
// missing, of another type or out of range.
var oddEntries = []func(b *backend) string{
	func(b *backend) string { return b.oddEntry(`"batch-slots":8`) },
	func(b *backend) string { return b.oddEntry(`"batch-slots":8,"born":"now"`) },
	func(b *backend) string { return b.oddEntry(`"batch-slots":8,"born":9999999999999`) },
	func(b *backend) string { return b.oddEntry(`"batch-slots":1e999,"born":1`) },
	func(*backend) string {
		return `{"service":"plain","address":"10.0.0.1:99999","state":"ready","born":1}`
	},
	func(*backend) string { return "not JSON" },
}

// oddEntry returns an entry with the server's own service and address, in state ready, and the given
// fields.
func (b *backend) oddEntry(fields string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"state":"ready",%s}`, b.service, b.link.address, b.dataCentre, fields)
}

// returnPause draws the pause before the entry of a leaving server is written again. The first request
// that it brings back would be late: an answer of the server then says that it is leaving.
func returnPause(r *rand.Rand) time.Duration {
	return leavingLimit - 200*time.Millisecond + time.Duration(r.Int64N(int64(time.Second)))
}

// leaveAndReturn lets the server leave and, after a pause, writes text in place of its entry. Without
// a text, the server leaves by the removal of its entry, which is then written once more as it was, as
// by a write that is carried out late.
func (s *Soak) leaveAndReturn(b *backend, wait time.Duration, text func(b *backend) string) {
	if text == nil {
		s.store.RemoveEntry(b.id)
	} else {
		s.writeEntry(b, mcstandin.PlatformDraining)
	}
	b.beginLeaving()
	s.pause(wait)
	if text == nil {
		s.writeEntry(b, mcstandin.PlatformReady)
	} else {
		s.store.PutRawEntry(b.id, text(b))
	}
	s.pause(leavingTime + heartbeatTime)
	s.remove(b)
}

// faultDuration draws the length of a fault: at least 200 ms.
func faultDuration(r *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(r.Int64N(int64(maxFaultTime)))
}

// storeFault returns a fault that applies the drawn store faults for a random time.
func storeFault(draw func(r *rand.Rand) mcstandin.PlatformStoreFaults) func(s *Soak, r *rand.Rand) {
	return func(s *Soak, r *rand.Rand) {
		s.disrupt(func() {
			s.store.SetFaults(draw(r))
			s.pause(faultDuration(r))
			s.store.SetFaults(mcstandin.PlatformStoreFaults{})
		})
	}
}

// impairLink delays, stalls, stalls one way or refuses the connections of a link for a random
// time. Refusing also resets the open connections.
func (s *Soak) impairLink(p *proxy, r *rand.Rand) {
	s.disrupt(func() {
		switch state := linkState(r.IntN(int(linkRefusing) + 1)); state {
		case linkUp:
			p.setLink(linkUp, time.Duration(1+r.IntN(60))*time.Millisecond)
		case linkRefusing:
			p.resetAll()
			p.setLink(state, 0)
		default:
			p.setLink(state, 0)
		}
		s.pause(faultDuration(r))
		p.setLink(linkUp, 0)
	})
}

// replace starts a new server of the same service and then removes the given one by end. A
// server that is being replaced already is left alone.
func (s *Soak) replace(b *backend, end func(s *Soak, b *backend)) {
	if b.replacing.Swap(true) {
		return
	}
	if _, err := s.startBackend(b.service, "", ""); err != nil {
		s.violation("soak", "cannot start a replacement server: %v", err)
	}
	end(s, b)
}

// restart ends an instance with the signal and starts it again after up to a second.
func (s *Soak) restart(i *instance, sig syscall.Signal, r *rand.Rand) {
	s.restartFor("", i, sig, r)
}

// restartFor is restart for the fault with the name.
func (s *Soak) restartFor(fault string, i *instance, sig syscall.Signal, r *rand.Rand) {
	wait := time.Duration(r.Int64N(int64(time.Second)))
	i.restartMu.Lock()
	defer i.restartMu.Unlock()
	s.disruptFor(fault, func() {
		i.end(sig)
		s.pause(wait)
		if err := i.start(s); err != nil {
			s.violation("soak", "cannot restart %s: %v", i.name, err)
		}
	})
}

// serverFaults draws one to three server faults, each for up to maxFaultRequests requests.
func serverFaults(r *rand.Rand) mcstandin.PlatformServerFaults {
	var f mcstandin.PlatformServerFaults
	all := []*int{
		&f.Overloaded, &f.LostResponses, &f.Errors, &f.RunThen503, &f.ExtraResponse, &f.Truncated, &f.MissingReceipt, &f.WrongRequestID, &f.MalformedResponse, &f.BrokenStreams,
	}
	for range 1 + r.IntN(3) {
		*all[r.IntN(len(all))] = 1 + r.IntN(maxFaultRequests)
	}
	f.BreakAfterEvent = r.IntN(streamEvents)
	return f
}

// disrupt calls do and records the interval of the call as a disruption, during which and
// shortly after which some checks do not apply.
func (s *Soak) disrupt(do func()) { s.disruptFor("", do) }

// disruptFor is disrupt for the fault with the name.
func (s *Soak) disruptFor(fault string, do func()) {
	s.mu.Lock()
	n := len(s.disruptions)
	s.disruptions = append(s.disruptions, disruption{interval: interval{from: time.Now()}, fault: fault})
	s.mu.Unlock()
	do()
	s.mu.Lock()
	s.disruptions[n].to = time.Now()
	s.mu.Unlock()
}

// disruptedBetween reports whether any disruption of processes, links or the store overlaps
// the time from from to to.
func (s *Soak) disruptedBetween(from, to time.Time) bool {
	return s.disruptedByOthers("", from, to)
}

// disruptedByOthers is disruptedBetween without the disruptions that the fault with the name caused, if
// it is not empty.
func (s *Soak) disruptedByOthers(fault string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.disruptions {
		if (fault == "" || p.fault != fault) && p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// injectFaults starts random faults, which may overlap, until Length has passed or the run is
// cancelled, and returns when the last one is over. Each fault has its own random source, so
// that its draws do not depend on the timing of others.
func (s *Soak) injectFaults() {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	drawn := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return s.Fault != "" && f.name != s.Fault })
	for time.Since(s.began) < s.Length && s.ctx.Err() == nil {
		f := drawn[random.IntN(len(drawn))]
		own := rand.New(rand.NewPCG(s.Seed, random.Uint64()))
		s.logf("fault: %s", f.name)
		s.activeFaults.Go(func() { f.inject(s, own) })
		s.pause(time.Duration(random.Int64N(int64(maxFaultPause))))
	}
	s.activeFaults.Wait()
	s.logf("all faults are over")
}
