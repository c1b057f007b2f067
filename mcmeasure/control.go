package mcmeasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"marigoldcroft/mcledger"
	"marigoldcroft/mcmember"
)

const (
	controlDuration = time.Minute
	// endpointsPerMember is 67 endpoints for 37 members, as in one data centre at the
	// design size.
	endpointsPerMember = 67.0 / 37.0
	detectionTrials    = 20
	movedKeys          = 10_000
	storeDelay         = 4 * time.Millisecond
	actionCount        = 2000
)

// controlSizes are the numbers of members at which slopes are measured; 37 is one data
// centre at the design size.
var controlSizes = []int{10, 37, 40, 100, 300}

// Control measures the cost of membership for one member, the time until a dead member
// is removed and the keys that move at a loss.
func Control(_ context.Context, w io.Writer, _ Options) error {
	fmt.Fprintln(w, "| members | endpoints | bytes a second | calls a second | share of a core % | interval | load age p99 | work age p99 | wrong suspicions | wrong removals |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, n := range controlSizes {
		c := mcmember.MeasureCost(n, int(float64(n)*endpointsPerMember), controlDuration)
		fmt.Fprintf(w, "| %d | %d | %.0f | %.1f | %.3f | %s | %s | %s | %d | %d |\n", n, c.Endpoints, c.BytesPerSecond, c.CallsPerSecond,
			c.CPUShare*100, round(c.Interval), round(c.LoadAgeP99), round(c.InFlightAgeP99), c.Suspicions, c.Removals)
	}
	fmt.Fprintln(w, "\n| members | lost at once | removed p50 | p99 | largest | missed | keys moved % | moved needlessly % |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, n := range []int{10, 37} {
		for _, lost := range []int{1, 4} {
			d := mcmember.MeasureDetection(n, int(float64(n)*endpointsPerMember), lost, detectionTrials, 0, false)
			moved, needless := mcmember.MeasureKeyMoves(n, lost, movedKeys)
			fmt.Fprintf(w, "| %d | %d | %s | %s | %s | %d | %.1f | %.1f |\n", n, lost, round(d.P50), round(d.P99), round(d.Max), d.Missed, moved*100, needless*100)
		}
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

// Actions measures the store writes of actions that run at most once.
func Actions(ctx context.Context, w io.Writer, _ Options) error {
	fmt.Fprintln(w, "| callers | shards | actions | store writes per action | bytes per action | p50 | p99 | failed |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, callers := range []int{1, 8, 64, 256} {
		for _, shards := range []int{1, 8, 64} {
			r := mcledger.Measure(ctx, mcledger.MeasureConfig{Concurrency: callers, Actions: actionCount, Shards: shards, StoreLatency: storeDelay})
			fmt.Fprintf(w, "| %d | %d | %d | %.3f | %.0f | %s | %s | %d |\n", callers, shards, r.Actions, r.WritesPerAction(),
				float64(r.WriteBytes)/float64(r.Actions), r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Failed)
		}
	}
	return nil
}
