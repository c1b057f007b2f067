package mcquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// requestBed runs attempts at guards that receive each other's entries at once. Its time advances
// by 10 ms with each step.
type requestBed struct {
	guards []*mcquarantine.Guard
	now    time.Time
	sent   []sentAttempt
}

type sentAttempt struct {
	endpoint string
	guard    *mcquarantine.Guard
	id       marigoldcroft.StreamID
}

func newRequestBed(instances int) *requestBed {
	b := &requestBed{now: start}
	for range instances {
		b.guards = append(b.guards, &mcquarantine.Guard{})
	}
	return b
}

// begin sends an attempt of the request to the endpoint.
func (b *requestBed) begin(instance int, endpoint string, f mcquarantine.Fingerprint, parts ...string) {
	b.now = b.now.Add(10 * time.Millisecond)
	a := sentAttempt{endpoint, b.guards[instance], stream(len(b.sent))}
	b.sent = append(b.sent, a)
	a.guard.Begin(b.now, endpoint, a.id, f, fingerprintsOf(parts))
}

// crash breaks the streams of the endpoint, whose port is closed. Each instance finds that out.
func (b *requestBed) crash(endpoint string) {
	for _, a := range b.sent {
		if a.endpoint == endpoint {
			a.guard.StreamBroken(b.now, endpoint, a.id)
		}
	}
	for _, g := range b.guards {
		b.now = b.now.Add(10 * time.Millisecond)
		b.exchange(g.ConnectionRefused(b.now, endpoint))
	}
}

// answer ends the latest attempt with a complete response.
func (b *requestBed) answer() {
	b.now = b.now.Add(10 * time.Millisecond)
	a := b.sent[len(b.sent)-1]
	b.exchange(a.guard.End(b.now, a.endpoint, a.id, true))
}

func (b *requestBed) exchange(entries []*mcmessage.QuarantineEntry) {
	for _, g := range b.guards {
		g.Merge(b.now, entries)
	}
}

// requireVerdict checks the verdict on the request at all instances.
func (b *requestBed) requireVerdict(t *testing.T, expected mcquarantine.Verdict, f mcquarantine.Fingerprint) {
	t.Helper()
	for i, g := range b.guards {
		require.Equal(t, expected, g.Check(b.now, f), "instance %d", i)
	}
}

// A sound request must not be quarantined because it and a crashing one, at another instance, were
// both hedged at the same two endpoints. Neither ran isolated, so nothing tells which crashed them;
// the next attempt does, and the crashing request loses three endpoints in all.
func TestRequestHedgedBesideCrashingOneIsNotQuarantined(t *testing.T) {
	b := newRequestBed(2)
	for _, endpoint := range []string{"c", "d"} {
		b.begin(0, endpoint, good)
		b.begin(1, endpoint, bad)
	}
	b.crash("c")
	b.crash("d")
	b.requireVerdict(t, mcquarantine.VerdictExclusive, good)
	b.requireVerdict(t, mcquarantine.VerdictExclusive, bad)
	b.begin(0, "e", good)
	b.answer()
	b.requireVerdict(t, mcquarantine.VerdictRun, good)
	b.begin(0, "f", bad)
	b.crash("f")
	b.requireVerdict(t, mcquarantine.VerdictQuarantined, bad)
}

// A sound suspect must not be quarantined because a crashing one ran at the same endpoint. Both ran
// isolated, but at two instances, each of which knows only of its own suspects there.
func TestSuspectBesideThatOfPeerIsNotQuarantined(t *testing.T) {
	b := newRequestBed(2)
	for _, endpoint := range []string{"c", "d"} {
		b.begin(0, endpoint, good)
		b.begin(1, endpoint, bad)
		b.crash(endpoint)
	}
	for i, g := range b.guards {
		require.NotEqual(t, mcquarantine.VerdictQuarantined, g.Check(b.now, good), "instance %d", i)
	}
}

// Attempts of one request that were sent before any of their crashes was known, as the segments of
// a split are, must not cost more than three endpoints. The third one may crash its endpoint after
// it was cancelled, which is not noticed, so that the request must not run again.
func TestThreeAttemptsAtOnceLoseNoFourthEndpoint(t *testing.T) {
	b := newRequestBed(1)
	for i := range 3 {
		b.begin(0, fmt.Sprint("e", i), bad)
	}
	b.crash("e0")
	b.requireVerdict(t, mcquarantine.VerdictExclusive, bad)
	b.crash("e1")
	b.requireVerdict(t, mcquarantine.VerdictQuarantined, bad)
}

// A request that crashes endpoints must not cost more than three of them because requests with a
// part that is suspected as well run beside it.
func TestCrashingRequestBesideSuspectedPartIsQuarantined(t *testing.T) {
	b := newRequestBed(1)
	for i, verdict := range []mcquarantine.Verdict{mcquarantine.VerdictExclusive, mcquarantine.VerdictExclusive, mcquarantine.VerdictQuarantined} {
		endpoint := fmt.Sprint("e", i)
		b.begin(0, endpoint, bad)
		b.begin(0, endpoint, mcquarantine.FingerprintOf("team", []byte(endpoint)), "suspected")
		b.crash(endpoint)
		b.requireVerdict(t, verdict, bad)
	}
}

// A request that crashes endpoints must be quarantined by the first crash in isolation, although
// its own part is suspected as much, and so are requests that had begun to answer long before.
func TestCrashingRequestWithPartIsQuarantined(t *testing.T) {
	b := newRequestBed(1)
	b.begin(0, "c", bad, "own")
	b.begin(0, "c", good, "other")
	b.crash("c")
	b.begin(0, "d", mcquarantine.FingerprintOf("team", []byte("streaming")), "other")
	streaming := b.sent[len(b.sent)-1]
	b.guards[0].FirstOutput(b.now, "d", streaming.id)
	b.now = b.now.Add(mcquarantine.BlameWindow)
	b.guards[0].AnswerContinued(b.now, "d", streaming.id)
	b.begin(0, "d", bad, "own")
	b.crash("d")
	b.requireVerdict(t, mcquarantine.VerdictQuarantined, bad)
}

// One request that crashes endpoints and comes again and again, at any instance, must stop to reach
// endpoints although others run beside it whose parts are suspected since its first crash.
func TestRepeatedCrashingRequestReachesFewEndpoints(t *testing.T) {
	for _, interval := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond} {
		for seed := range uint64(6) {
			s := newStorm(seed, 9, 21, 400*time.Millisecond)
			s.sameRequest = true
			s.after(0, func() { s.soundTraffic(10*time.Millisecond, 60) })
			s.after(4*time.Second, func() { s.deadlyTraffic(interval, []string{"subject1", "own"}) })
			s.runUntil(26 * time.Second)
			require.GreaterOrEqual(t, len(s.crashes), 2)
			require.LessOrEqual(t, s.sendsAfter(3, 3*time.Second), 3, "seed %d: %d crashes", seed, len(s.crashes))
		}
	}
}
