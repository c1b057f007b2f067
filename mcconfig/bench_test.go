package mcconfig_test

import (
	"fmt"
	"testing"

	"marigoldcroft/mcconfig"
)

// BenchmarkBoot reports the time and the memory of reading 40,000 teams.
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

// BenchmarkPropagation reports the time from the acceptance of a change until it is
// in force at the followers, over a store with 3 ms of delay.
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
