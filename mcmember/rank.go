package mcmember

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank sorts members by their rendezvous hash with the key: the first member is responsible
// for the key, the following ones are its successors. The loss of a member moves only the
// keys for which it was the first. The result does not depend on the order of members.
func Rank(key string, members []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	keyHash := xxhash.Sum64String(key)
	ranked := make([]scored, len(members))
	for i, name := range members {
		ranked[i] = scored{name, score(keyHash, name)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(ranked))
	for i, r := range ranked {
		names[i] = r.name
	}
	return names
}

// Home returns the first member of Rank in linear time, or "" if there are no members.
func Home(key string, members []string) string {
	keyHash := xxhash.Sum64String(key)
	best, bestScore := "", uint64(0)
	for _, name := range members {
		s := score(keyHash, name)
		if best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}

const (
	// maxFullMesh is the number of other members up to which a member exchanges with all
	// of them.
	maxFullMesh = 96
	// partnerCount is the number of partners of a member in a larger group. Exchanges with
	// all members would take a connection, some 70 KB on both sides together, for each pair.
	partnerCount = 48
)

// partners returns the members with which own exchanges. In a large group, these are the ones
// with the highest score of the pair. Both members of a pair compute the same score, so that
// partners mostly choose each other, and a change of the group changes few pairs.
func partners(own string, others []string) []string {
	if len(others) <= maxFullMesh {
		return others
	}
	scores := make(map[string]uint64, len(others))
	for _, other := range others {
		scores[other] = score(xxhash.Sum64String(min(own, other)), max(own, other))
	}
	chosen := slices.Clone(others)
	slices.SortFunc(chosen, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return chosen[:partnerCount]
}

// score combines both hashes with the finalizer of SplitMix64 (Steele, Lea, Flood,
// "Fast splittable pseudorandom number generators", 2014).
func score(keyHash uint64, member string) uint64 {
	z := keyHash ^ bits.RotateLeft64(xxhash.Sum64String(member), 32)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
