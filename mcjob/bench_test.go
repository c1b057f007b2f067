package mcjob_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcjob"
)

// BenchmarkJob reports the store calls of one job with a prompt of one chunk.
func BenchmarkJob(b *testing.B) {
	for b.Loop() {
		cost, err := mcjob.MeasureJob(b.Context(), []byte("body"))
		require.NoError(b, err)
		b.ReportMetric(float64(cost.Writes), "writesPerJob")
		b.ReportMetric(float64(cost.Reads), "readsPerJob")
	}
}
