package mcledger_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcledger"
)

// TestGroupCommit checks that requests share writes instead of taking one write each. A
// request waits at most for the outstanding write and for its own, so that the two
// requests of an action take at most 4 writes, which all callers of a shard share.
func TestGroupCommit(t *testing.T) {
	const actions, startWrites = 400, 10
	for _, concurrency := range []int{1, 16, 256} {
		atMost := min(2, 4/float64(concurrency)) + startWrites/float64(actions)
		synctest.Test(t, func(t *testing.T) {
			r := mcledger.Measure(t.Context(), mcledger.MeasureConfig{
				Concurrency: concurrency, Actions: actions, Shards: 1, StoreLatency: 3 * time.Millisecond,
			})
			require.Zero(t, r.Failed)
			require.LessOrEqual(t, r.WritesPerAction(), atMost, "concurrency %d", concurrency)
		})
	}
}

func BenchmarkGroupCommit(b *testing.B) {
	for _, shards := range []int{1, mcledger.ShardCount} {
		for _, rate := range []float64{0, 300} {
			for _, concurrency := range []int{1, 16, 64, 256, 1024} {
				b.Run(fmt.Sprintf("shards=%d/budget=%g/concurrency=%d", shards, rate, concurrency), func(b *testing.B) {
					var r mcledger.MeasureResult
					for b.Loop() {
						r = mcledger.Measure(b.Context(), mcledger.MeasureConfig{
							Concurrency: concurrency, Actions: 200 + 4*concurrency, Shards: shards,
							StoreLatency: 3 * time.Millisecond, WritesPerSecond: rate,
						})
					}
					b.ReportMetric(r.WritesPerAction(), "writes/action")
					b.ReportMetric(float64(r.WriteBytes)/float64(r.Actions), "B-written/action")
					b.ReportMetric(float64(r.Actions)/r.Elapsed.Seconds(), "actions/s")
					b.ReportMetric(float64(r.P50.Microseconds())/1000, "p50-ms")
					b.ReportMetric(float64(r.P99.Microseconds())/1000, "p99-ms")
					b.ReportMetric(float64(r.Failed), "failed")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
