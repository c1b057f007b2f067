package mcmember

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func groupNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%03d", i)
	}
	return names
}

func without(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// An instance that exchanges with every other one ends up with a connection to and from each,
// which at 300 instances takes more memory than all its other work. The members that are
// connected to one member must be bounded by a number that does not grow with the group, each
// member must reach every other one in a few steps, and the loss of a member must leave other
// pairs alone.
func TestPartnersBoundConnections(t *testing.T) {
	for _, n := range []int{100, 300, 1000} {
		names := groupNames(n)
		connected := make(map[string]map[string]bool)
		for _, name := range names {
			connected[name] = make(map[string]bool)
		}
		for _, name := range names {
			for _, partner := range partners(name, without(names, name)) {
				connected[name][partner], connected[partner][name] = true, true
			}
		}
		for name, others := range connected {
			require.LessOrEqual(t, len(others), 2*partnerCount, "%s of %d", name, n)
			require.GreaterOrEqual(t, len(others), partnerCount)
		}
		require.LessOrEqual(t, largestDistance(names[0], connected), 3)

		lost, changed := names[n/2], 0
		for _, name := range without(names, lost) {
			before := partners(name, without(names, name))
			after := partners(name, without(without(names, name), lost))
			for _, partner := range after {
				if !slices.Contains(before, partner) {
					changed++
				}
			}
		}
		require.LessOrEqual(t, changed, 2*partnerCount)
	}
	small := groupNames(maxFullMesh)
	require.Equal(t, small, partners("own", small), "a small group is complete")
}

// largestDistance returns the number of steps from a member to the one that is farthest away,
// or a large number if one cannot be reached.
func largestDistance(from string, connected map[string]map[string]bool) int {
	distance := map[string]int{from: 0}
	queue := []string{from}
	most := 0
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for other := range connected[name] {
			if _, known := distance[other]; !known {
				distance[other] = distance[name] + 1
				most = max(most, distance[other])
				queue = append(queue, other)
			}
		}
	}
	if len(distance) < len(connected) {
		return len(connected)
	}
	return most
}
