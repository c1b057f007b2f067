package mcquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// partBed runs attempts with shared prompt parts at one guard.
type partBed struct {
	guard    *mcquarantine.Guard
	requests int
}

func fingerprintsOf(parts []string) []mcquarantine.Fingerprint {
	var fingerprints []mcquarantine.Fingerprint
	for _, part := range parts {
		fingerprints = append(fingerprints, mcquarantine.PartFingerprint("s", part))
	}
	return fingerprints
}

// begin sends a request with the parts to the endpoint.
func (b *partBed) begin(at time.Duration, endpoint string, parts ...string) {
	b.requests++
	f := mcquarantine.FingerprintOf("team", []byte(fmt.Sprint(b.requests)))
	b.guard.Begin(start.Add(at), endpoint, stream(b.requests), f, fingerprintsOf(parts))
}

// crash breaks all streams up to the latest one on the endpoint and reports its refusal.
func (b *partBed) crash(at time.Duration, endpoint string) []*mcmessage.QuarantineEntry {
	for n := range b.requests {
		b.guard.StreamBroken(start.Add(at), endpoint, stream(n+1))
	}
	return b.guard.ConnectionRefused(start.Add(at+60*time.Millisecond), endpoint)
}

// answer sends a request with the parts that is answered at once.
func (b *partBed) answer(at time.Duration, endpoint string, parts ...string) []*mcmessage.QuarantineEntry {
	b.begin(at, endpoint, parts...)
	b.guard.FirstOutput(start.Add(at), endpoint, stream(b.requests))
	return b.guard.End(start.Add(at), endpoint, stream(b.requests), true)
}

// stream reads output of the latest request every 50 ms from at until end, without a pause.
func (b *partBed) stream(at, end time.Duration, endpoint string) {
	b.guard.FirstOutput(start.Add(at), endpoint, stream(b.requests))
	var progress mcquarantine.Progress
	for ; at <= end; at += 50 * time.Millisecond {
		if progress.Output(start.Add(at), func() time.Duration { return at }) {
			b.guard.AnswerContinued(start.Add(at), endpoint, stream(b.requests))
		}
	}
}

func (b *partBed) quarantined(at time.Duration, parts ...string) bool {
	_, quarantined := b.guard.QuarantinedPart(start.Add(at), fingerprintsOf(parts))
	return quarantined
}

// partsOf returns the entries of parts; those of whole requests are left out.
func partsOf(entries []*mcmessage.QuarantineEntry) []*mcmessage.QuarantineEntry {
	var parts []*mcmessage.QuarantineEntry
	for _, e := range entries {
		if e.GetPart() {
			parts = append(parts, e)
		}
	}
	return parts
}

// A part that all requests of a route share must not be quarantined together with the deadly
// part of some of them: it would refuse the whole route.
func TestSharedPartIsNotQuarantinedWithDeadlyPart(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	for i := range 3 {
		at, endpoint := time.Duration(i)*time.Second, fmt.Sprint("e", i)
		b.begin(at, endpoint, "system", "deadly")
		if i == 2 {
			b.begin(at, endpoint, "system")
		}
		b.crash(at+100*time.Millisecond, endpoint)
	}
	require.True(t, b.quarantined(3*time.Second, "deadly"))
	require.False(t, b.quarantined(3*time.Second, "system"))
}

// At low traffic, where all requests of a route share their first part and answers are long, the
// deadly part of some of them must not take the first part, and thereby the route, with it.
func TestLowTrafficRouteIsServedBesideDeadlyPart(t *testing.T) {
	for seed := range uint64(20) {
		s := newStorm(seed, 3, 4, 400*time.Millisecond)
		s.streamTime = 20 * time.Second
		s.after(0, func() { s.soundTraffic(500*time.Millisecond, 1) })
		s.after(2*time.Second, func() { s.deadlyTraffic(time.Second, []string{"subject0", "deadly"}) })
		s.runUntil(60 * time.Second)
		require.Less(t, s.refused["subject0"]*2, s.sent["subject0"], "seed %d", seed)
	}
}

// Requests with a deadly part that wait for seconds at their endpoint before their answer begins,
// as they do under high load, must stop to reach endpoints as soon as others.
func TestDeadlyPartIsQuarantinedWhenAnswersBeginLate(t *testing.T) {
	for seed := range uint64(20) {
		s := newStorm(seed, 9, 21, 400*time.Millisecond)
		s.firstOutput = 3 * time.Second
		s.after(0, func() { s.soundTraffic(25*time.Millisecond, 60) })
		s.after(4*time.Second, func() { s.deadlyTraffic(500*time.Millisecond, []string{"subject1", "deadly"}) })
		s.runUntil(30 * time.Second)
		require.LessOrEqual(t, s.lateSends(3*time.Second), 3, "seed %d: %d crashes", seed, len(s.crashes))
	}
}

// A part that requests had been answered with before it began to crash endpoints must stop to
// reach endpoints as soon as one that was never answered, however many instances there are.
func TestPartThatTurnsDeadlyIsQuarantined(t *testing.T) {
	for _, instances := range []int{9, 23, 86} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			for seed := range uint64(10) {
				s := newStorm(seed, instances, 69, 400*time.Millisecond)
				s.after(0, func() { s.soundTraffic(10*time.Millisecond, 60) })
				for i := range 200 {
					s.after(time.Duration(i)*10*time.Millisecond, func() { s.arrive([]string{"subject1", "turned"}, false) })
				}
				s.after(4*time.Second, func() { s.deadlyTraffic(500*time.Millisecond, []string{"subject1", "turned"}) })
				s.runUntil(26 * time.Second)
				require.LessOrEqual(t, s.lateSends(3*time.Second), 3, "seed %d: %d crashes", seed, len(s.crashes))
			}
		})
	}
}

// A part that begins to crash endpoints while earlier answers with it are still streaming must
// be quarantined. The end of an answer that began before the crashes says nothing about them.
func TestEarlierAnswerDoesNotClearLaterCrashes(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	b.answer(0, "sound", "deadly")
	const streams = 8
	for i := range streams {
		b.begin(0, fmt.Sprint("sound", i), "deadly")
		b.guard.FirstOutput(start.Add(100*time.Millisecond), fmt.Sprint("sound", i), stream(b.requests))
	}
	for i := range streams {
		at, endpoint := time.Duration(4+i)*time.Second, fmt.Sprint("e", i)
		b.begin(at, endpoint, "deadly")
		b.crash(at+100*time.Millisecond, endpoint)
		b.guard.End(start.Add(at+500*time.Millisecond), fmt.Sprint("sound", i), stream(2+i), true)
	}
	require.True(t, b.quarantined(13*time.Second, "deadly"), "after %d crashes in a row", streams)
}

// Endpoints that fail one after the other for another reason must not put a part under
// quarantine with which answers are streaming at that time: it does not crash endpoints.
func TestStreamingAnswerProvesItsParts(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	b.begin(0, "sound", "system")
	b.stream(100*time.Millisecond, 1300*time.Millisecond, "sound")
	for i := range 3 {
		at, endpoint := time.Duration(10+5*i)*time.Second, fmt.Sprint("e", i)
		b.begin(at, endpoint, "system")
		b.crash(at+100*time.Millisecond, endpoint)
	}
	require.False(t, b.quarantined(25*time.Second, "system"))
}

// An instance that answers requests with a part must clear the part at the peers that suspect it,
// also if it was itself affected by a crash shortly before. Otherwise these peers refuse for
// minutes what it serves. For this, peers must learn of each crash and of each clear.
func TestClearAfterOwnCrashReachesPeers(t *testing.T) {
	serving, peer := &partBed{guard: &mcquarantine.Guard{}}, &partBed{guard: &mcquarantine.Guard{}}
	serving.answer(0, "sound", "popular")
	serving.begin(time.Second, "e", "popular")
	crashed := partsOf(serving.crash(time.Second, "e"))
	require.Len(t, crashed, 1)
	require.Equal(t, uint32(1), crashed[0].GetCrashes())
	cleared := partsOf(serving.answer(2*time.Second, "sound", "popular"))
	require.Len(t, cleared, 1)
	for i := range 3 {
		at, endpoint := time.Duration(3+i)*time.Second, fmt.Sprint("f", i)
		peer.begin(at, endpoint, "popular")
		peer.crash(at+100*time.Millisecond, endpoint)
	}
	at := 6 * time.Second
	require.True(t, peer.quarantined(at, "popular"))
	peer.guard.Merge(start.Add(at), crashed)
	peer.guard.Merge(start.Add(at), cleared)
	require.False(t, peer.quarantined(at, "popular"))
}

// A deadly part that comes less than once a minute must be quarantined as well: it would otherwise
// crash an endpoint each time, for as long as such requests come.
func TestRareDeadlyPartIsQuarantined(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	crashes := 0
	for i := range 10 {
		at, endpoint := time.Duration(i)*90*time.Second, fmt.Sprint("e", i)
		if b.quarantined(at, "deadly") {
			break
		}
		b.begin(at, endpoint, "deadly")
		b.crash(at+100*time.Millisecond, endpoint)
		crashes++
	}
	require.Less(t, crashes, 6)
}

// A quarantine that was lifted must not return from an instance that was cut off meanwhile. The
// entry that records the clear must last as long as the one that it replaces.
func TestLiftedQuarantineDoesNotReturn(t *testing.T) {
	b, away := &partBed{guard: &mcquarantine.Guard{}}, &mcquarantine.Guard{}
	b.begin(0, "sound", "popular")
	for i := range 3 {
		at, endpoint := time.Duration(1+i)*time.Second, fmt.Sprint("e", i)
		b.begin(at, endpoint, "popular")
		b.crash(at+100*time.Millisecond, endpoint)
	}
	at := 4 * time.Second
	require.True(t, b.quarantined(at, "popular"))
	away.Merge(start.Add(at), b.guard.Entries(start.Add(at)))
	b.guard.End(start.Add(at), "sound", stream(1), true)
	require.False(t, b.quarantined(at, "popular"))
	// The instance that was away returns.
	at += 90 * time.Second
	b.guard.Merge(start.Add(at), away.Entries(start.Add(at)))
	require.False(t, b.quarantined(at, "popular"))
}

// A sound request that was in flight at crashes which a deadly part explains must not be
// quarantined itself: its callers would be refused for an hour.
func TestRequestBesideDeadlyPartIsNotQuarantined(t *testing.T) {
	g := &mcquarantine.Guard{}
	for i := range 2 {
		at, endpoint := start.Add(time.Duration(i)*time.Second), fmt.Sprint("e", i)
		g.Begin(at, endpoint, stream(10+i), mcquarantine.FingerprintOf("team", []byte(fmt.Sprint(i))), fingerprintsOf([]string{"deadly"}))
		g.Begin(at, endpoint, stream(20+i), good, nil)
		g.StreamBroken(at.Add(100*time.Millisecond), endpoint, stream(10+i))
		g.StreamBroken(at.Add(100*time.Millisecond), endpoint, stream(20+i))
		g.ConnectionRefused(at.Add(160*time.Millisecond), endpoint)
	}
	require.NotEqual(t, mcquarantine.VerdictQuarantined, g.Check(start.Add(2*time.Second), good))
}

// Of two parts that always come together, the one that does not crash endpoints must not be
// refused to other requests for minutes.
func TestCompanionOfDeadlyPartIsServed(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	for i := range 3 {
		at, endpoint := time.Duration(i)*time.Second, fmt.Sprint("e", i)
		b.begin(at, endpoint, "deadly", "companion")
		b.crash(at+100*time.Millisecond, endpoint)
	}
	require.True(t, b.quarantined(3*time.Second, "deadly", "companion"))
	require.False(t, b.quarantined(time.Minute, "companion"))
}

// An instance of the build before shared parts drops the mark of a part when it joins two entries.
// The mark must be restored from another entry of the part, in either order.
func TestMarkOfPartIsRestoredInAnyOrder(t *testing.T) {
	entry := func(part bool) []*mcmessage.QuarantineEntry {
		return []*mcmessage.QuarantineEntry{{Fingerprint: 1, Crashes: 2, Version: 1, Part: part, ExpiresUnixMs: start.Add(time.Minute).UnixMilli()}}
	}
	one, other := &mcquarantine.Guard{}, &mcquarantine.Guard{}
	one.Merge(start, entry(true))
	one.Merge(start, entry(false))
	other.Merge(start, entry(false))
	other.Merge(start, entry(true))
	require.Equal(t, fmt.Sprint(one.Entries(start)), fmt.Sprint(other.Entries(start)))
}

// A crash of a request with several parts, none of which crashed before, must be counted against
// each of them when the guard holds as many entries as it may: room for one must not be made by
// removing another, which panicked.
func TestCrashIsCountedAtFullTable(t *testing.T) {
	b := &partBed{guard: &mcquarantine.Guard{}}
	entries := make([]*mcmessage.QuarantineEntry, 10_000)
	for i := range entries {
		entries[i] = &mcmessage.QuarantineEntry{
			Fingerprint: uint64(i), Crashes: 1, Version: 1, Part: true, ExpiresUnixMs: start.Add(time.Minute).UnixMilli(),
		}
	}
	b.guard.Merge(start, entries)
	b.begin(0, "e", "one", "two", "three")
	require.Len(t, partsOf(b.crash(100*time.Millisecond, "e")), 3)
}
