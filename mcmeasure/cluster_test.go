package mcmeasure_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"marigoldcroft/mcload"
	"marigoldcroft/mcmeasure"
	"marigoldcroft/mcscheduler"
	"marigoldcroft/mcstandin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against lost, truncated or mixed-up answers on the path between caller and engine,
// and against engine memory that is not freed, under every scheduling policy.
func TestMixedLoadGetsWholeAnswers(t *testing.T) {
	for _, policy := range []string{
		mcscheduler.PolicyLengthAware, mcscheduler.PolicyRoundRobin,
		mcscheduler.PolicyLeastOutstanding, mcscheduler.PolicyLengthBlindFIFO,
	} {
		t.Run(policy, func(t *testing.T) {
			cluster, err := mcmeasure.StartCluster(context.Background(), mcmeasure.ClusterSettings{
				Entries: 2, Engines: 2, Policy: policy,
				Engine: mcstandin.EngineSettings{PrefillRate: 500_000, TokenTime: time.Millisecond, KVCapacity: 450_000, CacheCapacity: 50_000, ReportLag: 100 * time.Millisecond},
			})
			require.NoError(t, err)
			defer cluster.Stop()
			const seed = 7
			report := mcload.Run(context.Background(), mcload.Settings{
				Targets: cluster.Targets, Key: mcmeasure.TeamKey, Seed: seed, Rate: 40, Duration: time.Second, RetryRefusals: true,
				Classes: []mcload.Class{
					{Name: "short", Template: "caption", Weight: 0.95, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 5, Deadline: 20 * time.Second},
					{Name: "long", Template: "comparison", Weight: 0.05, MinTokens: 100_000, MaxTokens: 200_000, OutputTokens: 5, Deadline: 60 * time.Second},
				},
			})
			for _, row := range report.Rows() {
				require.Equal(t, row.Callers, row.Outcomes[mcload.OutcomeComplete], "seed %d class %s: %v %v", seed, row.Class, row.Outcomes, row.Codes)
			}
			for _, engine := range cluster.Engines {
				require.Eventually(t, func() bool { return engine.KVUsed() == 0 }, 10*time.Second, 10*time.Millisecond, "engine memory is not freed")
			}
		})
	}
}
