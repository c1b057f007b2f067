package mcconfig_test

import (
	"fmt"
	"testing"

	"marigoldcroft/mcconfig"
)

// BenchmarkBoot reports the time, memory and store reads of loading 40,000 teams.
func BenchmarkBoot(b *testing.B) {
	for b.Loop() {
		result, err := mcconfig.MeasureBoot(b.Context(), 40000)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(result.Boot.Milliseconds()), "bootMs")
		b.ReportMetric(float64(result.HeapBytes)/(1<<20), "heapMiB")
		b.ReportMetric(float64(result.StoreReads), "storeReads")
	}
}

// BenchmarkPropagation reports the time from the call that applies a change until the
// followers have applied it, with a store latency of 3 ms.
func BenchmarkPropagation(b *testing.B) {
	for _, followers := range []int{9, 40} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) {
			for b.Loop() {
				result, err := mcconfig.MeasurePropagation(b.Context(), followers, 50)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(result.P50.Microseconds())/1000, "p50Ms")
				b.ReportMetric(float64(result.P99.Microseconds())/1000, "p99Ms")
				b.ReportMetric(result.WritesPerChange, "writesPerChange")
				b.ReportMetric(result.ReadsPerChange, "readsPerChange")
			}
		})
	}
}
