package mcquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashParts is the number of entries that one crash can add for parts that never crashed.
	maxCrashParts = 192
	// maxRecentTimes limits each of the two generations of recentTimes.
	maxRecentTimes = 16_384
)

// recentTimes holds the latest time of each fingerprint. If it is full, the times that were not
// recorded again for longest are forgotten; its users ignore those that are too old.
type recentTimes struct {
	current, previous map[Fingerprint]time.Time
}

// at returns the time of the fingerprint, or zero.
func (r *recentTimes) at(f Fingerprint) time.Time {
	if at, found := r.current[f]; found {
		return at
	}
	return r.previous[f]
}

// record sets the time of the fingerprint unless a later one is known.
func (r *recentTimes) record(at time.Time, f Fingerprint) {
	known, found := r.current[f]
	if found && !at.After(known) {
		return
	}
	if !found {
		if older := r.previous[f]; older.After(at) {
			at = older
		}
		if r.current == nil || len(r.current) >= maxRecentTimes {
			r.current, r.previous = r.previous, r.current
			clear(r.current)
		}
		if r.current == nil {
			r.current = make(map[Fingerprint]time.Time)
		}
	}
	r.current[f] = at
}

// choicePerAttempt returns the largest number of parts that each attempt may contribute to a
// crash, such that all of them contribute at most maxCrashParts, or one each. Attempts with fewer
// parts leave the rest of their share to the others.
func choicePerAttempt(attempts []inFlightAttempt) int {
	sizes := make([]int, len(attempts))
	for i, attempt := range attempts {
		sizes[i] = len(attempt.parts)
	}
	slices.Sort(sizes)
	left := maxCrashParts
	for i, size := range sizes {
		share := left / (len(sizes) - i)
		if size > share {
			return max(1, share)
		}
		left -= size
	}
	return maxCrashParts
}

// choose returns up to n of the parts of a prompt that never crashed. Unproven parts that were left
// out at an earlier crash come first, and then other unproven ones, in an order that differs
// from crash to crash. A quarter is drawn from all that remain: a part that turns deadly after
// answers with it is found as well, and each part is chosen sooner or later.
func (g *Guard) choose(now, crashedAt time.Time, parts []Fingerprint, n int) []Fingerprint {
	if len(parts) <= n {
		return parts
	}
	type candidate struct {
		part Fingerprint
		tier int
		draw uint64
	}
	candidates := make([]candidate, len(parts))
	for i, part := range parts {
		c := candidate{part: part, tier: 1, draw: drawOf(crashedAt, part)}
		switch {
		case g.proven(now, part):
			c.tier = 2
		case g.wasLeftOut(now, part) && g.leftOut.at(part).Before(now):
			c.tier = 0
		}
		candidates[i] = c
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.draw, b.draw)) })
	rest := candidates[n-n/4:]
	slices.SortFunc(rest, func(a, b candidate) int { return cmp.Compare(a.draw, b.draw) })
	chosen := make([]Fingerprint, n)
	for i, c := range candidates {
		if i < n {
			chosen[i] = c.part
		} else if !g.wasLeftOut(now, c.part) {
			// The time of an earlier crash stays, as other attempts of this one need it.
			g.leftOut.record(now, c.part)
		}
	}
	return chosen
}

func (g *Guard) wasLeftOut(now time.Time, part Fingerprint) bool {
	at := g.leftOut.at(part)
	return !at.IsZero() && now.Sub(at) < partTTL
}

func drawOf(crashedAt time.Time, part Fingerprint) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], uint64(crashedAt.UnixNano()))
	binary.LittleEndian.PutUint64(buffer[8:], uint64(part))
	return xxhash.Sum64(buffer[:])
}
