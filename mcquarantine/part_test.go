package mcquarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// storm simulates instances that share endpoints and quarantine entries while requests with
// one prompt part crash each endpoint that answers them. Times are those of simulated time.
type storm struct {
	random    *rand.Rand
	now       time.Time
	events    timeline
	guards    []*mcquarantine.Guard
	endpoints []stormEndpoint
	// gossip is the longest time that an entry takes to another instance.
	gossip time.Duration
	// crashes holds the times of the crashes by the deadly part, deadlySends those at which
	// requests with it were sent.
	crashes, deadlySends []time.Time
	sent, refused        map[string]int
	requests             int
	// services is the number of services that use the endpoints, if there are several.
	services int
	// firstOutput is the least time from sending a request to its first output.
	firstOutput time.Duration
	// streamTime is the longest time from the first output of an answer to its end.
	streamTime time.Duration
	// sameRequest makes the requests with the deadly part repeats of one request.
	sameRequest bool
}

type stormEndpoint struct {
	incarnation int
	downUntil   time.Time
	inFlight    map[marigoldcroft.StreamID]int
}

type stormEvent struct {
	at  time.Time
	run func()
}

type timeline []stormEvent

func (l timeline) Len() int           { return len(l) }
func (l timeline) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l timeline) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(e any)        { *l = append(*l, e.(stormEvent)) }
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

const (
	stormDownTime   = 3300 * time.Millisecond
	stormProbeDelay = 60 * time.Millisecond
	stormStreamTime = 1700 * time.Millisecond
	stormOutputGap  = 30 * time.Millisecond
)

func newStorm(seed uint64, instances, endpoints int, gossip time.Duration) *storm {
	s := &storm{
		random: rand.New(rand.NewPCG(seed, 23)), now: start, gossip: gossip, streamTime: stormStreamTime, endpoints: make([]stormEndpoint, endpoints),
		sent: make(map[string]int), refused: make(map[string]int),
	}
	for range instances {
		s.guards = append(s.guards, &mcquarantine.Guard{})
	}
	for i := range s.endpoints {
		s.endpoints[i].inFlight = make(map[marigoldcroft.StreamID]int)
	}
	return s
}

func (s *storm) after(d time.Duration, run func()) {
	heap.Push(&s.events, stormEvent{at: s.now.Add(d), run: run})
}

func (s *storm) runUntil(end time.Duration) {
	for s.events.Len() > 0 && s.events[0].at.Before(start.Add(end)) {
		e := heap.Pop(&s.events).(stormEvent)
		s.now = e.at
		e.run()
	}
}

func (s *storm) draw(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// arrive sends a request with the shared parts to an instance and an endpoint that is up. The
// request is counted under its first part.
func (s *storm) arrive(parts []string, deadly bool) {
	at := s.random.IntN(len(s.guards))
	service := "s"
	if s.services > 1 {
		service = fmt.Sprint("s", s.random.IntN(s.services))
	}
	fingerprints := mcquarantine.PartFingerprints(service, parts)
	if !deadly {
		s.sent[parts[0]]++
	}
	if _, quarantined := s.guards[at].QuarantinedPart(s.now, fingerprints); quarantined {
		if !deadly {
			s.refused[parts[0]]++
		}
		return
	}
	fingerprint := mcquarantine.FingerprintOf("team", []byte(fmt.Sprint(s.requests)))
	if deadly && s.sameRequest {
		fingerprint = bad
	}
	i := s.random.IntN(len(s.endpoints))
	e := &s.endpoints[i]
	verdict := s.guards[at].Acquire(s.now, fingerprint, fmt.Sprint(s.requests))
	if s.now.Before(e.downUntil) || verdict == mcquarantine.VerdictQuarantined || verdict == mcquarantine.VerdictWait {
		s.guards[at].Release(fingerprint, fmt.Sprint(s.requests))
		return
	}
	if deadly {
		s.deadlySends = append(s.deadlySends, s.now)
	}
	s.requests++
	id, name, incarnation := stream(s.requests), s.name(i), e.incarnation
	e.inFlight[id] = at
	s.guards[at].Begin(s.now, name, id, fingerprint, fingerprints)
	holder := fmt.Sprint(s.requests - 1)
	release := func() { s.guards[at].Release(fingerprint, holder) }
	whileUp := func(run func()) func() {
		return func() {
			if e.incarnation == incarnation {
				run()
			}
		}
	}
	firstOutput := max(s.firstOutput, 30*time.Millisecond) + s.draw(100*time.Millisecond)
	if deadly {
		s.after(firstOutput+s.draw(80*time.Millisecond), whileUp(func() {
			s.crashes = append(s.crashes, s.now)
			s.crash(i)
			s.after(stormProbeDelay, release)
		}))
		return
	}
	s.after(firstOutput, whileUp(func() { s.guards[at].FirstOutput(s.now, name, id) }))
	s.after(firstOutput+mcquarantine.BlameWindow+stormOutputGap, whileUp(func() { s.announce(at, s.guards[at].AnswerContinued(s.now, name, id)) }))
	s.after(firstOutput+s.draw(s.streamTime), whileUp(func() {
		release()
		delete(e.inFlight, id)
		s.announce(at, s.guards[at].End(s.now, name, id, true))
	}))
}

func (s *storm) name(i int) string { return fmt.Sprintf("e%d-%d", i, s.endpoints[i].incarnation) }

// crash breaks all streams of the endpoint; each instance that had one there finds out by a
// refused connection.
func (s *storm) crash(i int) {
	e, name := &s.endpoints[i], s.name(i)
	affected := make(map[int]bool)
	for id, at := range e.inFlight {
		s.guards[at].StreamBroken(s.now, name, id)
		affected[at] = true
	}
	clear(e.inFlight)
	e.incarnation++
	e.downUntil = s.now.Add(stormDownTime)
	for _, at := range slices.Sorted(maps.Keys(affected)) {
		s.after(stormProbeDelay, func() { s.announce(at, s.guards[at].ConnectionRefused(s.now, name)) })
	}
}

func (s *storm) announce(from int, entries []*mcmessage.QuarantineEntry) {
	if len(entries) == 0 {
		return
	}
	for to := range s.guards {
		if to == from {
			continue
		}
		s.after(30*time.Millisecond+s.draw(s.gossip), func() {
			s.guards[to].Merge(s.now, entries)
			s.announce(to, s.guards[to].ClearProvenParts(s.now))
		})
	}
}

// soundTraffic sends requests with one of the subjects as their only shared part.
func (s *storm) soundTraffic(interval time.Duration, subjects int) {
	s.arrive([]string{fmt.Sprint("subject", s.random.IntN(subjects))}, false)
	s.after(s.draw(2*interval), func() { s.soundTraffic(interval, subjects) })
}

func (s *storm) deadlyTraffic(interval time.Duration, parts []string) {
	s.arrive(parts, true)
	s.after(s.draw(2*interval), func() { s.deadlyTraffic(interval, parts) })
}

// lateSends counts the requests with the deadly part that were sent later than the delay after
// the fifth crash.
func (s *storm) lateSends(delay time.Duration) int { return s.sendsAfter(5, delay) }

// sendsAfter counts the requests with the deadly part that were sent later than the delay after the
// nth crash.
func (s *storm) sendsAfter(crash int, delay time.Duration) int {
	n := 0
	for _, at := range s.deadlySends {
		if len(s.crashes) >= crash && at.After(s.crashes[crash-1].Add(delay)) {
			n++
		}
	}
	return n
}

// Requests that have only one part of their prompt in common crash one endpoint after the
// other, as no two requests are alike. They must stop to reach endpoints within seconds, on all
// instances, while sound requests with the other parts of these prompts are still served.
func TestDeadlyPartIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		name                 string
		instances, endpoints int
		gossip               time.Duration
		sound, deadly        time.Duration
		parts                []string
		seeds                uint64
		services             int
	}{
		{"second part, 9 instances", 9, 21, 400 * time.Millisecond, 25 * time.Millisecond, 500 * time.Millisecond, []string{"subject1", "deadly"}, 20, 1},
		{"only part, 6 instances", 6, 16, 400 * time.Millisecond, 35 * time.Millisecond, 700 * time.Millisecond, []string{"deadly"}, 20, 1},
		{"first part, 9 instances", 9, 21, 400 * time.Millisecond, 25 * time.Millisecond, 500 * time.Millisecond, []string{"deadly", "subject2"}, 20, 1},
		{"between others, 86 instances", 86, 69, time.Second, 10 * time.Millisecond, 200 * time.Millisecond, []string{"subject1", "deadly", "subject2"}, 3, 1},
		{"one instance", 1, 8, time.Millisecond, 50 * time.Millisecond, time.Second, []string{"subject1", "deadly"}, 20, 1},
		{"second part, 9 instances, 4 services", 9, 21, 400 * time.Millisecond, 25 * time.Millisecond, 500 * time.Millisecond, []string{"subject1", "deadly"}, 20, 4},
		{"many at once", 9, 21, 400 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond, []string{"subject1", "deadly"}, 20, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range c.seeds {
				s := newStorm(seed, c.instances, c.endpoints, c.gossip)
				s.services = c.services
				s.after(0, func() { s.soundTraffic(c.sound, 60) })
				s.after(4*time.Second, func() { s.deadlyTraffic(c.deadly, c.parts) })
				s.runUntil(26 * time.Second)
				require.GreaterOrEqual(t, len(s.crashes), 3, "seed %d", seed)
				require.LessOrEqual(t, s.lateSends(3*time.Second), 3, "seed %d: %d crashes", seed, len(s.crashes))
				sent, refused := 0, 0
				for subject, n := range s.sent {
					sent, refused = sent+n, refused+s.refused[subject]
				}
				require.Less(t, s.refused["subject1"]*2, s.sent["subject1"], "seed %d", seed)
				require.Less(t, refused*50, sent, "seed %d: sound requests refused", seed)
			}
		})
	}
}

// Endpoints that fail together, again and again, must not put the parts of their requests under
// quarantine.
func TestFailingEndpointsQuarantineNoPart(t *testing.T) {
	for seed := range uint64(20) {
		s := newStorm(seed, 9, 21, 400*time.Millisecond)
		s.after(0, func() { s.soundTraffic(10*time.Millisecond, 20) })
		for wave := range 5 {
			s.after(time.Duration(2+4*wave)*time.Second, func() {
				for i := range 12 {
					s.crash(i)
				}
			})
		}
		s.runUntil(24 * time.Second)
		require.Empty(t, s.refused, "seed %d", seed)
	}
}
