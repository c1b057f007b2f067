package mcquarantine_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

var (
	start = time.Unix(1_800_000_000, 0)
	bad   = mcquarantine.FingerprintOf("studio", []byte("bad"))
	good  = mcquarantine.FingerprintOf("studio", []byte("good"))
)

func stream(n int) marigoldcroft.StreamID { return marigoldcroft.NewStreamID(fmt.Sprint(n), 1) }

// TestCrashNeedsEvidence checks which requests a crash is counted against. A broken stream
// or a refused connection alone must not count as a crash; a proven crash counts against
// the requests in flight at that time, not against those that started later. A step is
// word:argument@second; streams 1 (bad) and 2 (good) run on endpoint a from second 0.
func TestCrashNeedsEvidence(t *testing.T) {
	for name, c := range map[string]struct{ steps, accused string }{
		"broken stream alone":                      {"cut:1@0", ""},
		"refused connection alone":                 {"refused:a@0", ""},
		"endpoint answers after the broken stream": {"cut:1@0 answered:7@0 refused:a@1", ""},
		"broken stream, then refused":              {"cut:1@0 fail:1@0 refused:a@0 refused:a@0", "bad good"},
		"broken stream, then restarted":            {"answered:7@0 cut:1@0 answered:8@0", "bad good"},
		"other request had finished":               {"whole:2@0 cut:1@0 refused:a@0", "bad"},
		"request started after the crash":          {"cut:1@0 begin:3@1 refused:a@1", "bad good"},
		"refused connection too late":              {"cut:1@0 refused:a@5", ""},
		"second broken stream is read later":       {"cut:1@0 refused:a@0 cut:2@0 refused:a@0", "bad good"},
		"other's complete response is read later":  {"cut:1@1 refused:a@1 whole:2@1", "bad"},
		"another endpoint":                         {"cut:1@0 refused:b@0", ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := &mcquarantine.Guard{}
			g.Begin(start, "a", stream(1), bad, nil)
			g.Begin(start, "a", stream(2), good, nil)
			for _, step := range strings.Fields(c.steps) {
				applyStep(t, g, step)
			}
			var accused []string
			for _, e := range g.Entries(start.Add(time.Second)) {
				if !e.Cleared {
					require.EqualValues(t, 1, e.Crashes)
					accused = append(accused, map[mcquarantine.Fingerprint]string{bad: "bad", good: "good"}[mcquarantine.Fingerprint(e.Fingerprint)])
				}
			}
			require.ElementsMatch(t, strings.Fields(c.accused), accused)
		})
	}
}

func applyStep(t *testing.T, g *mcquarantine.Guard, step string) {
	action, rest, _ := strings.Cut(step, ":")
	argument, second, _ := strings.Cut(rest, "@")
	n, _ := strconv.Atoi(argument)
	seconds, err := strconv.Atoi(second)
	require.NoError(t, err)
	now := start.Add(time.Duration(seconds) * time.Second)
	switch action {
	case "begin":
		g.Begin(now, "a", stream(n), mcquarantine.FingerprintOf("studio", []byte("later")), nil)
	case "cut":
		g.StreamBroken(now, "a", stream(n))
	case "fail", "whole":
		g.End(now, "a", stream(n), action == "whole")
	case "answered":
		g.IncarnationReported(now, now, "a", uint64(n))
	case "refused":
		g.ConnectionRefused(now, argument)
	}
}

// crashEndpoint starts the fingerprint on the endpoint and crashes the endpoint.
func crashEndpoint(g *mcquarantine.Guard, now time.Time, endpoint string, id marigoldcroft.StreamID, f mcquarantine.Fingerprint) []*mcmessage.QuarantineEntry {
	g.Begin(now, endpoint, id, f, nil)
	g.StreamBroken(now, endpoint, id)
	return g.ConnectionRefused(now, endpoint)
}

// TestEntryLifecycle checks that a suspect is cleared by a complete response, that a
// quarantine ends by itself, and that an operator can lift it.
func TestEntryLifecycle(t *testing.T) {
	g := &mcquarantine.Guard{}
	crashEndpoint(g, start, "a", stream(1), bad)
	require.Equal(t, mcquarantine.VerdictExclusive, g.Acquire(start, bad, "r1"))
	require.Equal(t, mcquarantine.VerdictWait, g.Acquire(start, bad, "r2"))
	g.Release(bad, "r1")
	require.Equal(t, mcquarantine.VerdictExclusive, g.Acquire(start, bad, "r2"))
	g.Release(bad, "r2")

	g.Begin(start, "b", stream(2), bad, nil)
	require.Len(t, g.End(start, "b", stream(2), true), 1)
	require.Equal(t, mcquarantine.VerdictRun, g.Check(start, bad))

	crashEndpoint(g, start, "c", stream(3), bad)
	crashEndpoint(g, start, "d", stream(4), bad)
	require.Equal(t, mcquarantine.VerdictQuarantined, g.Acquire(start, bad, "r3"))
	require.Equal(t, mcquarantine.VerdictQuarantined, g.Check(start.Add(59*time.Minute), bad))
	require.Equal(t, mcquarantine.VerdictRun, g.Check(start.Add(time.Hour), bad))
	require.True(t, g.Clear(start, bad).Cleared)
	require.Equal(t, mcquarantine.VerdictRun, g.Check(start, bad))
}

// A complete response of any attempt, also of one that started before the crash, must clear
// a suspect. A failed attempt must not.
func TestOnlyCompleteResponseClears(t *testing.T) {
	for finished, verdict := range map[bool]mcquarantine.Verdict{true: mcquarantine.VerdictRun, false: mcquarantine.VerdictExclusive} {
		g := &mcquarantine.Guard{}
		g.Begin(start, "b", stream(2), bad, nil)
		crashEndpoint(g, start.Add(time.Second), "a", stream(1), bad)
		g.End(start.Add(2*time.Second), "b", stream(2), finished)
		require.Equal(t, verdict, g.Check(start.Add(2*time.Second), bad))
	}
}

// Instances receive the same entries in different orders and more than once, and must all
// end up with the same ones.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.Custom(func(t *rapid.T) *mcmessage.QuarantineEntry {
			return &mcmessage.QuarantineEntry{
				Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"), Crashes: rapid.Uint32Range(0, 3).Draw(t, "crashes"),
				Quarantined: rapid.Bool().Draw(t, "quarantined"), Cleared: rapid.Bool().Draw(t, "cleared"),
				Version: rapid.Uint64Range(1, 3).Draw(t, "version"), ExpiresUnixMs: start.UnixMilli() + rapid.Int64Range(-1, 2).Draw(t, "expires"),
			}
		})
		messages := rapid.SliceOfN(message, 0, 8).Draw(t, "messages")
		one, other := &mcquarantine.Guard{}, &mcquarantine.Guard{}
		one.Merge(start, messages)
		for _, m := range rapid.Permutation(messages).Draw(t, "order") {
			other.Merge(start, []*mcmessage.QuarantineEntry{m})
			other.Merge(start, []*mcmessage.QuarantineEntry{m})
		}
		require.Equal(t, fmt.Sprint(one.Entries(start)), fmt.Sprint(other.Entries(start)))
	})
}

// A request could crash the whole fleet if its caller tries one instance after another. At
// most 3 endpoints may be lost, even if the first attempts run at two instances at once and
// the entry reaches the other instances only after each crash.
func TestAtMostThreeEndpointsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		guards := make([]*mcquarantine.Guard, n)
		for i := range guards {
			guards[i] = &mcquarantine.Guard{}
		}
		home := rapid.IntRange(0, n-1).Draw(t, "home")
		now, lost := start, 0
		announce := func(messages []*mcmessage.QuarantineEntry) {
			for _, g := range guards {
				g.Merge(now, messages)
			}
		}
		concurrentFirst := rapid.IntRange(1, 2).Draw(t, "at once")
		var messages []*mcmessage.QuarantineEntry
		for i := range concurrentFirst {
			messages = append(messages, crashEndpoint(guards[i], now, fmt.Sprint("engine", lost), stream(lost), bad)...)
			lost++
		}
		announce(messages)
		for range 50 {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute / 2}).Draw(t, "pause"))
			at := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch guards[at].Check(now, bad) {
			case mcquarantine.VerdictQuarantined:
				continue
			case mcquarantine.VerdictExclusive:
				at = home
			}
			announce(crashEndpoint(guards[at], now, fmt.Sprint("engine", lost), stream(lost), bad))
			lost++
		}
		require.LessOrEqual(t, lost, 3)
	})
}

// Members reject records with versions of 2^40 and more, and with them the whole exchange. Entries
// that an instance makes must stay below that.
func TestVersionsAreAcceptedByMembers(t *testing.T) {
	g := &mcquarantine.Guard{}
	crashEndpoint(g, start, "a", stream(1), bad)
	crashEndpoint(g, start, "b", stream(2), bad)
	for _, e := range append(g.Entries(start), g.Clear(start, good)) {
		require.Less(t, e.GetVersion(), uint64(1)<<40)
	}
}
