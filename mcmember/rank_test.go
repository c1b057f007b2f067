package mcmember_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft/mcmember"
)

// When a member is lost, only the keys that it was responsible for may move. A result that
// depended on the order of the argument would differ between members.
func TestRankMovesOnlyKeysOfTheLostMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		names := make([]string, n)
		for i := range names {
			names[i] = instanceName(centreA, i)
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		rest := append(append([]string(nil), names[:lost]...), names[lost+1:]...)
		shuffled := rapid.Permutation(names).Draw(t, "order")
		const keys = 200
		for i := range keys {
			key := fmt.Sprint("shard/", i)
			ranked := mcmember.Rank(key, names)
			require.Equal(t, ranked, mcmember.Rank(key, shuffled))
			require.Equal(t, ranked[0], mcmember.Home(key, shuffled))
			if ranked[0] != names[lost] && n > 1 {
				require.Equal(t, ranked[0], mcmember.Home(key, rest))
			}
		}
	})
	require.Empty(t, mcmember.Home("key", nil))
}

// TestRankIsBalanced fails if a member is responsible for clearly more or fewer keys than its
// share: the bound is five standard deviations.
func TestRankIsBalanced(t *testing.T) {
	const keys = 10_000
	for _, n := range []int{2, 10, 37} {
		names := make([]string, n)
		for i := range names {
			names[i] = instanceName(centreA, i)
		}
		homes := make(map[string]int)
		for i := range keys {
			homes[mcmember.Home(fmt.Sprint("shard/", i), names)]++
		}
		share := 1 / float64(n)
		deviation := math.Sqrt(keys * share * (1 - share))
		for _, name := range names {
			require.InDelta(t, keys*share, homes[name], 5*deviation, "%s of %d", name, n)
		}
	}
}
