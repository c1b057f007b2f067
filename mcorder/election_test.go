package mcorder_test

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// candidate is one instance in the simulation that compares election rules.
type candidate struct {
	id, recoveries int
	// startedAt and failsAt are the times of the last start and the next failure, in
	// seconds.
	startedAt, failsAt float64
	// meanUp is the mean time between restarts, in seconds.
	meanUp float64
}

// electionRule returns the leader among the live candidates, given the previous leader.
type electionRule func(r *rand.Rand, live []*candidate, leader *candidate) *candidate

// firstToClaim keeps the leader while it is alive. Otherwise the first candidate to
// claim leads, which is a random one.
func firstToClaim(r *rand.Rand, live []*candidate, leader *candidate) *candidate {
	for _, c := range live {
		if c == leader {
			return leader
		}
	}
	return live[r.Intn(len(live))]
}

// fewestRecoveries is the rule of Martin, Larrea and Jimenez (2009): the candidate with
// the fewest recoveries leads, and the smallest id decides ties.
func fewestRecoveries(_ *rand.Rand, live []*candidate, _ *candidate) *candidate {
	best := live[0]
	for _, c := range live {
		if c.recoveries < best.recoveries || c.recoveries == best.recoveries && c.id < best.id {
			best = c
		}
	}
	return best
}

// fewestRecoveriesWhenVacant keeps the leader while it is alive. Otherwise the
// candidate with the fewest recoveries leads.
func fewestRecoveriesWhenVacant(r *rand.Rand, live []*candidate, leader *candidate) *candidate {
	for _, c := range live {
		if c == leader {
			return leader
		}
	}
	return fewestRecoveries(r, live, leader)
}

// countLeaderChanges counts the leadership changes in 30 days among 37 instances. A
// restart takes 30 s. Replaced instances return under a new id and without recoveries.
func countLeaderChanges(seed int64, rule electionRule, flaky int, replaced bool) int {
	const instances, seconds, down = 37, 30 * 86400, 30
	// On an ordinary day, 53 of 330 instances are restarted or replaced.
	const meanUp, flakyMeanUp = 86400.0 * 330 / 53, 600.0
	// Separate random sources, so that the times of restarts do not depend on the rule.
	faults, picks := rand.New(rand.NewSource(seed)), rand.New(rand.NewSource(seed+1))
	all := make([]*candidate, instances)
	for place, i := range faults.Perm(instances) {
		all[i] = &candidate{id: i, meanUp: meanUp}
		if place < flaky {
			all[i].meanUp = flakyMeanUp
		}
		all[i].failsAt = faults.ExpFloat64() * all[i].meanUp
	}
	count, nextID := 0, instances
	leader := rule(picks, all, nil)
	for now := 0.0; now < seconds; now = nextEvent(all, now) {
		var live []*candidate
		for _, c := range all {
			if now >= c.failsAt {
				c.startedAt = now + down
				c.failsAt = c.startedAt + faults.ExpFloat64()*c.meanUp
				c.recoveries++
				if replaced {
					c.id, c.recoveries, nextID = nextID, 0, nextID+1
				}
			}
			if now >= c.startedAt {
				live = append(live, c)
			}
		}
		if next := rule(picks, live, leader); next != leader {
			leader = next
			count++
		}
	}
	return count
}

// nextEvent returns the next time after now at which a candidate fails or starts.
func nextEvent(all []*candidate, now float64) float64 {
	next := math.Inf(1)
	for _, c := range all {
		for _, at := range []float64{c.failsAt, c.startedAt} {
			if at > now && at < next {
				next = at
			}
		}
	}
	return next
}

// compareRules returns a table of leadership changes, summed over the seeds.
func compareRules(seeds int64) string {
	rules := []struct {
		name string
		rule electionRule
	}{{"claim order", firstToClaim}, {"fewest recoveries", fewestRecoveries}, {"fewest when vacant", fewestRecoveriesWhenVacant}}
	var out strings.Builder
	fmt.Fprintf(&out, "%-20s %9s %9s %9s\n", "rule", "restarts", "flaky", "replaced")
	for _, c := range rules {
		var sums [3]int
		for seed := range seeds {
			sums[0] += countLeaderChanges(seed, c.rule, 0, false)
			sums[1] += countLeaderChanges(seed, c.rule, 3, false)
			sums[2] += countLeaderChanges(seed, c.rule, 0, true)
		}
		fmt.Fprintf(&out, "%-20s %9d %9d %9d\n", c.name, sums[0], sums[1], sums[2])
	}
	return out.String()
}

// TestElectionRules fails if a change to the simulation alters its results. The figures
// in docs/design.md come from the same simulation, over 200 seeds.
func TestElectionRules(t *testing.T) {
	goldie.New(t).Assert(t, "election", []byte(compareRules(10)))
}

// BenchmarkElectionRules logs the comparison over 200 seeds that docs/design.md cites.
func BenchmarkElectionRules(b *testing.B) {
	for b.Loop() {
		b.Log("\n" + compareRules(200))
	}
}
