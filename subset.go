package marigoldcroft

import "slices"

// subsetSize is the number of instances in a subset. Members of a subset tell each other of their work
// within a tenth of a second, which takes each of them some dozen messages; the endpoints of a
// subset, one in SubsetCount of all, must be enough to even out the load of its members.
const subsetSize = 20

// SubsetCount returns the number of subsets into which the instances of a data centre are divided.
func SubsetCount(instances int) int { return max(1, instances/subsetSize) }

// SubsetMembers returns the members of the instance's subset without the instance itself, sorted, or
// nil if it is not a member. members must be sorted.
func SubsetMembers(self string, members []string) []string {
	index, found := slices.BinarySearch(members, self)
	if !found {
		return nil
	}
	var subset []string
	count := SubsetCount(len(members))
	for i := index % count; i < len(members); i += count {
		if i != index {
			subset = append(subset, members[i])
		}
	}
	return subset
}
