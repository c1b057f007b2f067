package mcmember_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldcroft/mcmember"
)

// Reports the traffic, CPU time and ages in docs/membership.md.
func BenchmarkControl(b *testing.B) {
	for _, members := range []int{10, 37, 40, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				c := mcmember.MeasureCost(members, 67, 2*time.Minute)
				b.ReportMetric(c.BytesPerSecond, "B/s")
				b.ReportMetric(c.MaxBytesPerSecond, "maxB/s")
				b.ReportMetric(c.CPUShare*100, "%core")
				b.ReportMetric(c.Interval.Seconds(), "interval-s")
				b.ReportMetric(c.LoadAgeP50.Seconds(), "loadAge-p50-s")
				b.ReportMetric(c.LoadAgeP99.Seconds(), "loadAge-p99-s")
				b.ReportMetric(c.InFlightAgeP50.Seconds(), "workAge-p50-s")
				b.ReportMetric(c.InFlightAgeP99.Seconds(), "workAge-p99-s")
				b.ReportMetric(c.InFlightUnknown*100, "%workUnknown")
				b.ReportMetric(c.HeartbeatAgeP99.Seconds(), "heartbeatAge-p99-s")
				b.ReportMetric(float64(c.Suspicions), "suspicions")
				b.ReportMetric(float64(c.Removals), "removals")
				b.ReportMetric(float64(c.LargestMessage), "largest-B")
			}
		})
	}
}

// Reports the time from the death of a member to its removal by the others.
func BenchmarkDetection(b *testing.B) {
	for _, c := range []struct {
		members, lost, trials int
		lossRate              float64
	}{{10, 1, 20, 0}, {37, 1, 10, 0}, {37, 4, 10, 0}, {37, 1, 10, 0.05}, {100, 1, 4, 0}} {
		b.Run(fmt.Sprintf("members=%d/lost=%d/loss=%g", c.members, c.lost, c.lossRate), func(b *testing.B) {
			for b.Loop() {
				d := mcmember.MeasureDetection(c.members, 67, c.lost, c.trials, c.lossRate, false)
				b.ReportMetric(d.P50.Seconds(), "p50-s")
				b.ReportMetric(d.P99.Seconds(), "p99-s")
				b.ReportMetric(d.Max.Seconds(), "max-s")
				b.ReportMetric(float64(d.Missed), "missed")
			}
		})
	}
}

// Reports the share of keys that move to another member after a loss.
func BenchmarkMoves(b *testing.B) {
	for _, lost := range []int{1, 4} {
		b.Run(fmt.Sprintf("members=37/lost=%d", lost), func(b *testing.B) {
			for b.Loop() {
				moved, needless := mcmember.MeasureKeyMoves(37, lost, 20_000)
				b.ReportMetric(100*moved, "%moved")
				b.ReportMetric(100*needless, "%needless")
			}
		})
	}
}
