package mcquarantine_test

import (
	"fmt"
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

// Guards against an accusation for a mere cut stream, and against a death that is
// attributed to nobody or to work that came later.
func TestDeathNeedsEvidence(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		events  func(g *mcquarantine.Guard)
		accused []mcquarantine.Fingerprint
	}{
		"cut stream alone":   {func(g *mcquarantine.Guard) { g.Cut(start, "a", stream(1)) }, nil},
		"refused dial alone": {func(g *mcquarantine.Guard) { g.Refused(start, "a") }, nil},
		"endpoint answers after the cut": {func(g *mcquarantine.Guard) {
			g.Cut(start, "a", stream(1))
			g.Answered(start, start, "a", 7)
			g.Refused(start.Add(second), "a")
		}, nil},
		"cut, then refused": {func(g *mcquarantine.Guard) {
			g.Cut(start, "a", stream(1))
			g.End(start, "a", stream(1), false)
			g.Refused(start, "a")
			g.Refused(start, "a")
		}, []mcquarantine.Fingerprint{bad, good}},
		"cut, then restarted": {func(g *mcquarantine.Guard) {
			g.Answered(start, start, "a", 7)
			g.Cut(start, "a", stream(1))
			g.Answered(start, start, "a", 8)
		}, []mcquarantine.Fingerprint{bad, good}},
		"other had finished": {func(g *mcquarantine.Guard) {
			g.End(start, "a", stream(2), true)
			g.Cut(start, "a", stream(1))
			g.Refused(start, "a")
		}, []mcquarantine.Fingerprint{bad}},
		"began after the death": {func(g *mcquarantine.Guard) {
			g.Cut(start, "a", stream(1))
			g.Begin(start.Add(second), "a", stream(3), mcquarantine.FingerprintOf("studio", []byte("later")))
			g.Refused(start.Add(second), "a")
		}, []mcquarantine.Fingerprint{bad, good}},
		"evidence too late": {func(g *mcquarantine.Guard) {
			g.Cut(start, "a", stream(1))
			g.Refused(start.Add(5*second), "a")
		}, nil},
		"second stream's end is read later": {func(g *mcquarantine.Guard) {
			g.Cut(start, "a", stream(1))
			g.Refused(start, "a")
			g.Cut(start, "a", stream(2))
			g.Refused(start, "a")
		}, []mcquarantine.Fingerprint{bad, good}},
		"other's whole answer is read later": {func(g *mcquarantine.Guard) {
			g.Cut(start.Add(second), "a", stream(1))
			g.Refused(start.Add(second), "a")
			g.End(start.Add(second), "a", stream(2), true)
		}, []mcquarantine.Fingerprint{bad}},
		"another endpoint": {func(g *mcquarantine.Guard) {
			g.Cut(start, "a", stream(1))
			g.Refused(start, "b")
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := &mcquarantine.Guard{}
			g.Begin(start, "a", stream(1), bad)
			g.Begin(start, "a", stream(2), good)
			c.events(g)
			var accused []mcquarantine.Fingerprint
			for _, e := range g.Entries(start.Add(second)) {
				if e.Cleared {
					continue
				}
				require.EqualValues(t, 1, e.Crashes)
				accused = append(accused, mcquarantine.Fingerprint(e.Fingerprint))
			}
			require.ElementsMatch(t, c.accused, accused)
		})
	}
}

// kill runs the fingerprint on the endpoint and lets the endpoint die.
func kill(g *mcquarantine.Guard, now time.Time, endpoint string, id marigoldcroft.StreamID, f mcquarantine.Fingerprint) []*mcmessage.QuarantineEntry {
	g.Begin(now, endpoint, id, f)
	g.Cut(now, endpoint, id)
	return g.Refused(now, endpoint)
}

// Guards against suspects that are never cleared, quarantines that never end, and an
// operator's clear that does not hold.
func TestLifeOfAnEntry(t *testing.T) {
	g := &mcquarantine.Guard{}
	kill(g, start, "a", stream(1), bad)
	require.Equal(t, mcquarantine.VerdictAlone, g.Enter(start, bad, "r1"))
	require.Equal(t, mcquarantine.VerdictBusy, g.Enter(start, bad, "r2"))
	g.Leave(bad, "r1")
	require.Equal(t, mcquarantine.VerdictAlone, g.Enter(start, bad, "r2"))
	g.Leave(bad, "r2")

	g.Begin(start, "b", stream(2), bad)
	require.Len(t, g.End(start, "b", stream(2), true), 1)
	require.Equal(t, mcquarantine.VerdictRun, g.Check(start, bad))

	kill(g, start, "c", stream(3), bad)
	kill(g, start, "d", stream(4), bad)
	require.Equal(t, mcquarantine.VerdictQuarantined, g.Enter(start, bad, "r3"))
	require.Equal(t, mcquarantine.VerdictQuarantined, g.Check(start.Add(59*time.Minute), bad))
	require.Equal(t, mcquarantine.VerdictRun, g.Check(start.Add(time.Hour), bad))
	require.True(t, g.Clear(start, bad).Cleared)
	require.Equal(t, mcquarantine.VerdictRun, g.Check(start, bad))
}

// Guards against a suspect that stays one although another attempt of it, from before
// the crash or after it, was answered whole, and against one that a failed attempt clears.
func TestOnlyWholeAnswerClears(t *testing.T) {
	for finished, verdict := range map[bool]mcquarantine.Verdict{true: mcquarantine.VerdictRun, false: mcquarantine.VerdictAlone} {
		g := &mcquarantine.Guard{}
		g.Begin(start, "b", stream(2), bad)
		kill(g, start.Add(time.Second), "a", stream(1), bad)
		g.End(start.Add(2*time.Second), "b", stream(2), finished)
		require.Equal(t, verdict, g.Check(start.Add(2*time.Second), bad))
	}
}

// Guards against instances that end with different entries after the same exchanges.
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

// Guards against a caller that takes down the fleet by asking one instance after the
// other: at most 3 endpoints are lost, also when the first tries run at two instances
// at once and the entry spreads only after each crash.
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
		first := rapid.IntRange(1, 2).Draw(t, "at once")
		var messages []*mcmessage.QuarantineEntry
		for i := range first {
			messages = append(messages, kill(guards[i], now, fmt.Sprint("engine", lost), stream(lost), bad)...)
			lost++
		}
		announce(messages)
		for range 50 {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute / 2}).Draw(t, "pause"))
			at := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch guards[at].Check(now, bad) {
			case mcquarantine.VerdictQuarantined:
				continue
			case mcquarantine.VerdictAlone:
				at = home
			}
			announce(kill(guards[at], now, fmt.Sprint("engine", lost), stream(lost), bad))
			lost++
		}
		require.LessOrEqual(t, lost, 3)
	})
}
