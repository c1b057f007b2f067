package mcjob_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcjob"
)

const measureSeed = 20261204

// TestStoreWritesPerJob compares the store writes of a job with the number that the
// budget takes at submission. Uncharged writes would exceed the deployment's rate limit.
// docs/jobs.md derives the jobs per second from that number.
func TestStoreWritesPerJob(t *testing.T) {
	for _, tokens := range []int{1_000, 100_000, 1_000_000} {
		r, err := mcjob.Measure(t.Context(), tokens, 500, measureSeed)
		require.NoError(t, err)
		// A chunk may hold 1 MB, and compression makes the body smaller than BodyBytes.
		require.LessOrEqual(t, r.PromptChunks, 1+r.BodyBytes/900_000)
		writes := int(r.Counts.Puts + r.Counts.Deletes)
		require.Equal(t, 2*(r.PromptChunks+1)+2, writes, "%d tokens, seed %d", tokens, measureSeed)
	}
}

// TestTakeoverTime kills the owner of a job at various points of the sweep interval.
// Another instance must start the job within the detection of the death, one sweep
// interval and the calls of the claim.
func TestTakeoverTime(t *testing.T) {
	const detection, calls = 7 * time.Second, 100 * time.Millisecond
	var sum, longest time.Duration
	runs := 0
	for phase := time.Second; phase <= 3*mcjob.SweepInterval; phase += 170 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			takeover, err := mcjob.MeasureTakeover(t.Context(), detection, phase)
			require.NoError(t, err)
			require.Greater(t, takeover, detection)
			require.LessOrEqual(t, takeover, detection+mcjob.SweepInterval+calls)
			sum, longest, runs = sum+takeover, max(longest, takeover), runs+1
		})
	}
	t.Logf("takeover after a detection of %s: mean %s, most %s of %d runs", detection, sum/time.Duration(runs), longest, runs)
}

func BenchmarkJob(b *testing.B) {
	for _, tokens := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			var r mcjob.MeasureResult
			for b.Loop() {
				var err error
				r, err = mcjob.Measure(b.Context(), tokens, 500, measureSeed)
				require.NoError(b, err)
			}
			c := r.Counts
			b.ReportMetric(float64(c.Puts+c.Deletes), "writes/job")
			b.ReportMetric(float64(c.Gets+c.Watches), "reads/job")
			b.ReportMetric(float64(r.PromptChunks), "chunks/job")
			b.ReportMetric(float64(c.WrittenBytes), "B-written/job")
			b.ReportMetric(float64(c.ReadBytes), "B-read/job")
		})
	}
}
