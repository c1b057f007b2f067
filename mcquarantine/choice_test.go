package mcquarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcquarantine"
)

// longPrompt returns n part names of its own and puts the shared part among them.
func longPrompt(request, n int, shared string) []string {
	parts := make([]string, 0, n+1)
	for i := range n {
		if i == request*37%n {
			parts = append(parts, shared)
		}
		parts = append(parts, fmt.Sprint(request, "/", i))
	}
	return parts
}

// Guards against a deadly part among so many others that a crash is not attributed to all of them:
// it must be found by instances that share their entries, before more than three requests reach
// endpoints after the fifth crash.
func TestDeadlyPartIsFoundAmongManyParts(t *testing.T) {
	for _, c := range []struct{ instances, parts int }{{1, 200}, {1, 1000}, {9, 100}, {9, 200}} {
		t.Run(fmt.Sprint(c.instances, " instances, ", c.parts, " parts"), func(t *testing.T) {
			total := 0
			for seed := range 100 {
				guards := make([]mcquarantine.Guard, c.instances)
				at, crashes := start.Add(time.Duration(seed)*time.Hour), 0
				for n := range 20 {
					g, fingerprints := &guards[n%c.instances], mcquarantine.PartFingerprints("s", longPrompt(n, c.parts, fmt.Sprint("dead", seed)))
					at = at.Add(time.Second)
					if _, quarantined := g.QuarantinedPart(at, fingerprints); quarantined {
						break
					}
					crashes++
					endpoint := fmt.Sprint("e", n)
					g.Begin(at, endpoint, stream(n), mcquarantine.Fingerprint(n), fingerprints)
					g.StreamBroken(at.Add(100*time.Millisecond), endpoint, stream(n))
					changed := g.ConnectionRefused(at.Add(160*time.Millisecond), endpoint)
					for i := range guards {
						guards[i].Merge(at.Add(300*time.Millisecond), changed)
					}
				}
				require.LessOrEqual(t, crashes, 5+3, "seed %d", seed)
				total += crashes
			}
			t.Logf("%.2f crashes on average", float64(total)/100)
		})
	}
}

// Guards against a part that turns deadly after answers with it and is not found as long as they
// count, as each prompt has more unproven parts than a crash is attributed to.
func TestProvenPartIsFoundAmongManyParts(t *testing.T) {
	for seed := range 20 {
		b := &partBed{guard: &mcquarantine.Guard{}}
		at, crashes := time.Duration(seed)*time.Hour, 0
		for ; crashes < 200 && !b.quarantined(at, "turned"); crashes++ {
			b.answer(at, "sound", "sound")
			if crashes == 0 {
				b.answer(at, "sound", "turned")
			}
			at += 100 * time.Millisecond
			endpoint := fmt.Sprint("e", crashes)
			b.begin(at, endpoint, longPrompt(crashes, 300, "turned")...)
			b.guard.StreamBroken(start.Add(at+10*time.Millisecond), endpoint, stream(b.requests))
			b.guard.ConnectionRefused(start.Add(at+20*time.Millisecond), endpoint)
			at += time.Second
		}
		require.Less(t, at-time.Duration(seed)*time.Hour, time.Minute, "seed %d: %d crashes", seed, crashes)
	}
}

// Guards against a crash of an endpoint with many long prompts that replaces the entries of earlier
// crashes, here and at the peers, by those of its parts.
func TestCrashAddsFewEntries(t *testing.T) {
	for _, c := range []struct{ attempts, parts, least, most int }{{1, 3, 3, 3}, {20, 3, 60, 60}, {1, 1000, 192, 192}, {30, 400, 180, 192}, {300, 400, 290, 300}} {
		t.Run(fmt.Sprint(c.attempts, " attempts, ", c.parts, " parts"), func(t *testing.T) {
			g := &mcquarantine.Guard{}
			for n := range c.attempts {
				g.Begin(start, "e", stream(n), mcquarantine.Fingerprint(n), fingerprintsOf(longPrompt(n, c.parts, fmt.Sprint("part of ", n))[1:]))
			}
			for n := range c.attempts {
				g.StreamBroken(start.Add(time.Second), "e", stream(n))
			}
			added := partsOf(g.ConnectionRefused(start.Add(time.Second), "e"))
			require.GreaterOrEqual(t, len(added), c.least)
			require.LessOrEqual(t, len(added), c.most)
		})
	}
}

// Guards against proofs of long prompts that fill the memory, or that displace the proof of a part
// with which requests are answered all the time.
func TestProofsOfLongPromptsAreBounded(t *testing.T) {
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	b := &partBed{guard: &mcquarantine.Guard{}}
	for n := range 1000 {
		at := time.Duration(n) * 10 * time.Millisecond
		b.answer(at, "sound", longPrompt(n, 400, "popular")...)
		require.True(t, b.guard.Proven(start.Add(at), fingerprintsOf([]string{"popular"})[0]))
	}
	require.Less(t, heap()-before, int64(8<<20))
}
