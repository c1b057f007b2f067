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
	membershipDuration = time.Minute
	// endpointsPerMember is the ratio in one data centre of the design size: 67 endpoints for
	// 37 members.
	endpointsPerMember = 67.0 / 37.0
	detectionTrials    = 20
	sampledKeys        = 10_000
	storeDelay         = 4 * time.Millisecond
	actionCount        = 2000
)

// memberCounts are the numbers of members at which the cost of membership is measured; 37 is
// the size of one data centre at the design size.
var memberCounts = []int{10, 37, 40, 100, 300}

// Control measures the cost of membership for one member, the time until a dead member is
// removed, and the share of keys that get a new owner when members are lost.
func Control(_ context.Context, w io.Writer, _ Options) error {
	fmt.Fprintln(w, "| members | endpoints | bytes a second | calls a second | share of a core % | interval | load age p99 | work age p99 | wrong suspicions | wrong removals |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, n := range memberCounts {
		c := mcmember.MeasureCost(n, int(float64(n)*endpointsPerMember), membershipDuration)
		fmt.Fprintf(w, "| %d | %d | %.0f | %.1f | %.3f | %s | %s | %s | %d | %d |\n", n, c.Endpoints, c.BytesPerSecond, c.CallsPerSecond,
			c.CPUShare*100, roundTo10ms(c.Interval), roundTo10ms(c.LoadAgeP99), roundTo10ms(c.InFlightAgeP99), c.Suspicions, c.Removals)
	}
	fmt.Fprintln(w, "\n| members | lost at once | removed p50 | p99 | largest | missed | keys moved % | moved needlessly % |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, n := range []int{10, 37} {
		for _, lost := range []int{1, 4} {
			d := mcmember.MeasureDetection(n, int(float64(n)*endpointsPerMember), lost, detectionTrials, 0, false)
			moved, movedNeedlessly := mcmember.MeasureKeyMoves(n, lost, sampledKeys)
			fmt.Fprintf(w, "| %d | %d | %s | %s | %s | %d | %.1f | %.1f |\n", n, lost, roundTo10ms(d.P50), roundTo10ms(d.P99), roundTo10ms(d.Max), d.Missed, moved*100, movedNeedlessly*100)
		}
	}
	return nil
}

func roundTo10ms(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

// Actions measures the object store writes and the latency of at-most-once actions.
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
