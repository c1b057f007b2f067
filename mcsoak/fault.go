package mcsoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"marigoldcroft/mcstandin"
)

const (
	// leavingTime is how long a leaving server keeps serving, lapseTime how long the entry of
	// a crashed server stays in the store.
	leavingTime = 3 * time.Second
	lapseTime   = 1500 * time.Millisecond
	// longestFault bounds the random part of the length of a fault, longestPause the time
	// between the starts of two faults.
	longestFault = 4 * time.Second
	longestPause = 1200 * time.Millisecond
	// strikes is the maximum number of requests that one server fault affects.
	strikes    = 12
	probePause = 100 * time.Millisecond
)

type (
	// fault is a kind of fault. do injects it and returns when it is over. Faults of servers
	// are set only and end with the requests that they affect.
	fault struct {
		name string
		do   func(s *Soak, random *rand.Rand)
	}

	// span is a time interval; to is zero while it lasts.
	span struct{ from, to time.Time }
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
	{"store link is impaired", func(s *Soak, r *rand.Rand) { s.harmLink(s.anyInstance(r).store, r) }},
	{"caller link is impaired", func(s *Soak, r *rand.Rand) { s.harmLink(s.anyInstance(r).callers, r) }},
	{"server link is impaired", func(s *Soak, r *rand.Rand) { s.harmLink(s.anyServer(r).link, r) }},
	{"server crashes", func(s *Soak, r *rand.Rand) { s.replace(s.anyServer(r), (*Soak).crash) }},
	{"server leaves", func(s *Soak, r *rand.Rand) { s.replace(s.anyServer(r), (*Soak).leave) }},
	{"server misbehaves", func(s *Soak, r *rand.Rand) { s.anyServer(r).server.SetFaults(serverFaults(r)) }},
	{"all servers misbehave", func(s *Soak, r *rand.Rand) {
		for _, b := range s.allServers() {
			b.server.SetFaults(serverFaults(r))
		}
	}},
	{"malformed entry", func(s *Soak, r *rand.Rand) {
		texts := []string{`{"service":7}`, `not json`, `{"service":"plain","address":"x","zone":"z","state":"ready"}`, `{"state":"asleep"}`}
		s.store.EnterRaw(fmt.Sprintf("other-%d", r.IntN(3)), texts[r.IntN(len(texts))])
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
		s.harming(func() {
			i.signal(syscall.SIGSTOP)
			s.pause(lasting(r))
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
}

// lasting draws the length of a fault: at least 200 ms.
func lasting(r *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(r.Int64N(int64(longestFault)))
}

// storeFault returns a fault that applies the drawn store faults for a random time.
func storeFault(draw func(r *rand.Rand) mcstandin.PlatformStoreFaults) func(s *Soak, r *rand.Rand) {
	return func(s *Soak, r *rand.Rand) {
		s.harming(func() {
			s.store.SetFaults(draw(r))
			s.pause(lasting(r))
			s.store.SetFaults(mcstandin.PlatformStoreFaults{})
		})
	}
}

// harmLink delays, stalls, stalls one way or refuses the connections of a link for a random
// time. Refusing also resets the open connections.
func (s *Soak) harmLink(p *proxy, r *rand.Rand) {
	s.harming(func() {
		switch state := linkState(r.IntN(int(linkRefusing) + 1)); state {
		case linkWhole:
			p.set(linkWhole, time.Duration(1+r.IntN(60))*time.Millisecond)
		case linkRefusing:
			p.resetAll()
			p.set(state, 0)
		default:
			p.set(state, 0)
		}
		s.pause(lasting(r))
		p.set(linkWhole, 0)
	})
}

// replace starts a new server of the same service and then removes the given one by end. A
// server that is being replaced already is left alone.
func (s *Soak) replace(b *backend, end func(s *Soak, b *backend)) {
	if b.ending.Swap(true) {
		return
	}
	if _, err := s.startBackend(b.service); err != nil {
		s.broken("soak", "cannot start a replacement server: %v", err)
	}
	end(s, b)
}

// restart ends an instance with the signal and starts it again after up to a second.
func (s *Soak) restart(i *instance, sig syscall.Signal, r *rand.Rand) {
	wait := time.Duration(r.Int64N(int64(time.Second)))
	i.life.Lock()
	defer i.life.Unlock()
	s.harming(func() {
		i.end(sig)
		s.pause(wait)
		if err := i.start(s); err != nil {
			s.broken("soak", "cannot restart %s: %v", i.name, err)
		}
	})
}

// serverFaults draws one to three server faults, each for up to strikes requests.
func serverFaults(r *rand.Rand) mcstandin.PlatformServerFaults {
	var f mcstandin.PlatformServerFaults
	all := []*int{
		&f.Full, &f.Lost, &f.Errors, &f.Busy, &f.Extra, &f.Truncated, &f.Unsealed, &f.Foreign, &f.Garbage, &f.CutAfter,
	}
	for range 1 + r.IntN(3) {
		*all[r.IntN(len(all))] = 1 + r.IntN(strikes)
	}
	f.CutEvent = r.IntN(streamEvents)
	return f
}

// harming calls do and records the interval of the call as a disruption, during which and
// shortly after which some checks do not apply.
func (s *Soak) harming(do func()) {
	s.mu.Lock()
	n := len(s.spans)
	s.spans = append(s.spans, span{from: time.Now()})
	s.mu.Unlock()
	do()
	s.mu.Lock()
	s.spans[n].to = time.Now()
	s.mu.Unlock()
}

// anyHarm reports whether any disruption of processes, links or the store overlaps the
// interval.
func (s *Soak) anyHarm(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.spans {
		if p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// trouble starts random faults, which may overlap, until Length has passed or the run is
// cancelled, and returns when the last one is over. Each fault has its own random source, so
// that its draws do not depend on the timing of others.
func (s *Soak) trouble() {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	for time.Since(s.began) < s.Length && s.ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(s.Seed, random.Uint64()))
		s.logf("fault: %s", f.name)
		s.waitsFaults.Go(func() { f.do(s, own) })
		s.pause(time.Duration(random.Int64N(int64(longestPause))))
	}
	s.waitsFaults.Wait()
	s.logf("all faults are over")
}
