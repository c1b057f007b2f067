package mcmember_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft/mcmember"
)

// Guards against keys that move between remaining members, against an order that
// depends on the argument's, and against a member with far more than its share.
func TestRankMovesOnlyTheLostShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		names := make([]string, n)
		for i := range names {
			names[i] = instanceName(centreA, i)
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		rest := append(append([]string(nil), names[:lost]...), names[lost+1:]...)
		shuffled := rapid.Permutation(names).Draw(t, "order")
		homes := make(map[string]int)
		const keys = 200
		for i := range keys {
			key := fmt.Sprint("shard/", i)
			ranked := mcmember.Rank(key, names)
			require.Equal(t, ranked, mcmember.Rank(key, shuffled))
			require.Equal(t, ranked[0], mcmember.Home(key, shuffled))
			homes[ranked[0]]++
			if ranked[0] != names[lost] && n > 1 {
				require.Equal(t, ranked[0], mcmember.Home(key, rest))
			}
		}
		// 200 keys on 2 members: 140 are 5.6 standard deviations above the mean.
		if n == 2 {
			require.Less(t, homes[names[0]], 140)
			require.Less(t, homes[names[1]], 140)
		}
	})
	require.Empty(t, mcmember.Home("key", nil))
}
