package mcscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The long set must follow sustained changes of the demand and ignore short ones, and
// must not take the share of the endpoints that is kept for short requests.
func TestLongSetHysteresis(t *testing.T) {
	type phase struct {
		demand   int
		duration time.Duration
	}
	for _, c := range []struct {
		name      string
		endpoints int
		phases    []phase
		size      int
	}{
		{"short burst", 8, []phase{{4, 2 * time.Second}}, 1},
		{"sustained demand", 8, []phase{{4, 4 * time.Second}}, 2},
		{"never more than half", 8, []phase{{99, time.Minute}}, 4},
		{"one endpoint serves both", 1, []phase{{99, time.Minute}}, 1},
		{"short lull", 8, []phase{{99, time.Minute}, {0, 25 * time.Second}}, 4},
		{"sustained lull", 8, []phase{{99, time.Minute}, {0, 35 * time.Second}}, 3},
		{"medium utilization resets the timers", 8, []phase{{99, time.Minute}, {0, 25 * time.Second}, {2, 5 * time.Second}, {0, 25 * time.Second}}, 4},
		{"never empty", 8, []phase{{0, 5 * time.Minute}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l longSet
			l.setEndpointCount(c.endpoints)
			now := time.Duration(0)
			for _, phase := range c.phases {
				for end := now + phase.duration; now < end; {
					now += utilizationInterval
					l.observeDemand(now, phase.demand)
				}
			}
			require.Equal(t, c.size, l.size)
		})
	}
}
