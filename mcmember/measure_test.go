package mcmember_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldcroft/mcmember"
)

// Reports the figures of docs/membership.md.
func BenchmarkControl(b *testing.B) {
	for _, members := range []int{10, 37, 40, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				c := mcmember.MeasureControl(members, 67, 2*time.Minute, 0)
				b.ReportMetric(c.BytesPerSecond, "B/s")
				b.ReportMetric(c.MaxBytesPerSecond, "maxB/s")
				b.ReportMetric(c.CPUShare*100, "%core")
				b.ReportMetric(c.Interval.Seconds(), "interval-s")
				b.ReportMetric(c.LoadAgeP50.Seconds(), "loadAge-p50-s")
				b.ReportMetric(c.LoadAgeP99.Seconds(), "loadAge-p99-s")
				b.ReportMetric(c.WorkAgeP50.Seconds(), "workAge-p50-s")
				b.ReportMetric(c.WorkAgeP99.Seconds(), "workAge-p99-s")
				b.ReportMetric(c.WorkUnknown*100, "%workUnknown")
				b.ReportMetric(c.HeartbeatAgeP99.Seconds(), "heartbeatAge-p99-s")
				b.ReportMetric(float64(c.Suspicions), "suspicions")
				b.ReportMetric(float64(c.Removals), "removals")
				b.ReportMetric(float64(c.LargestMessage), "largest-B")
			}
		})
	}
}
