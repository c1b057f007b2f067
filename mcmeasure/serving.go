package mcmeasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"marigoldcroft/mcload"
	"marigoldcroft/mcscheduler"
	"marigoldcroft/mcstandin"
)

const (
	// engineCount and entryCount are the sizes of the larger deployments in use.
	engineCount = 16
	entryCount  = 7
	// defaultLongJobs is the default number of long prompts that are kept running beside the
	// short ones.
	defaultLongJobs = 4
	// baseRate is the arrival rate of short requests per second.
	baseRate      = 25
	phaseDuration = 15 * time.Second
	seed          = 20261204
)

// DefaultPolicies are the scheduling policies that are compared by default, in the order of the
// tables.
var DefaultPolicies = []string{
	mcscheduler.PolicyLengthAware, mcscheduler.PolicyLengthBlindFIFO,
	mcscheduler.PolicyRoundRobin, mcscheduler.PolicyLeastOutstanding,
}

// Options are the options of the measuring subcommands.
type Options struct {
	// Policies are the scheduling policies to compare, in this order.
	Policies []string
	// LongJobs is the number of callers that each keep one long prompt running.
	LongJobs int
}

// DefaultOptions returns options that compare DefaultPolicies with four long prompts running.
func DefaultOptions() Options { return Options{Policies: DefaultPolicies, LongJobs: defaultLongJobs} }

// engineSettings describes a stand-in engine that takes 0.1 to 0.3 s to prefill a short
// prompt. This is slow enough that the load generator and the instances leave most of the
// machine idle.
func engineSettings() mcstandin.EngineSettings {
	return mcstandin.EngineSettings{
		PrefillRate: 12_500, TokenTime: 20 * time.Millisecond, KVCapacity: 450_000, CacheCapacity: 200_000,
		ReportLag: 500 * time.Millisecond,
	}
}

func shortClass() mcload.Class {
	return mcload.Class{Name: "short", Template: "caption", Weight: 1, MinTokens: 1000, MaxTokens: 4000, OutputTokens: 20, Deadline: 10 * time.Second}
}

func longClass() mcload.Class {
	return mcload.Class{Name: "long", Template: "comparison", Weight: 1, MinTokens: 900_000, MaxTokens: 1_000_000, OutputTokens: 20, Deadline: 5 * time.Minute}
}

// baseLoad returns the load that all measurements start from: short requests at baseRate for
// one phase.
func baseLoad(targets []string) mcload.Settings {
	return mcload.Settings{
		Targets: targets, Key: TeamKey, Seed: seed, Rate: baseRate, Duration: phaseDuration,
		Classes: []mcload.Class{shortClass()}, RetryRefusals: true, BackgroundClass: longClass(),
	}
}

// withCluster runs measure on a new cluster that uses the scheduling policy.
func withCluster(ctx context.Context, policy string, measure func(*Cluster) error) error {
	cluster, err := StartCluster(ctx, ClusterSettings{Entries: entryCount, Engines: engineCount, Policy: policy, Engine: engineSettings()})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	return measure(cluster)
}

// HeadOfLine measures head-of-line blocking for each policy: the time to first token of
// short requests with and without long prompts.
func HeadOfLine(ctx context.Context, w io.Writer, options Options) error {
	fmt.Fprintln(w, "| policy | short p95 alone ms | short p95 beside long jobs ms | ratio | long whole | long not whole | short not whole |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, policy := range options.Policies {
		err := withCluster(ctx, policy, func(c *Cluster) error {
			mcload.Run(ctx, warmUpLoad(c.Targets))
			alone := mcload.Run(ctx, baseLoad(c.Targets)).Row("short", mcload.PhaseBase)
			mixed := baseLoad(c.Targets)
			mixed.BackgroundCallers, mixed.Seed = options.LongJobs, seed+1
			report := mcload.Run(ctx, mixed)
			short, long := report.Row("short", mcload.PhaseBase), report.Row("long", mcload.PhaseBase)
			fmt.Fprintf(w, "| %s | %.1f | %.1f | %.2f | %d | %d | %d |\n", policy, alone.FirstToken.P95, short.FirstToken.P95,
				short.FirstToken.P95/alone.FirstToken.P95, long.Outcomes[mcload.OutcomeComplete],
				long.Callers-long.Outcomes[mcload.OutcomeComplete], short.Callers-short.Outcomes[mcload.OutcomeComplete])
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// warmUpLoad returns a short load that precedes a measurement, so that the schedulers have
// learned their cost models and the connections are open.
func warmUpLoad(targets []string) mcload.Settings {
	s := baseLoad(targets)
	s.Duration, s.Seed = 2*time.Second, seed+2
	return s
}

// Overhead measures the latency that an entry instance adds to a streamed short request,
// against the same engine called directly.
func Overhead(ctx context.Context, w io.Writer, _ Options) error {
	settings := ClusterSettings{Entries: 1, Engines: 1, Policy: mcscheduler.PolicyLengthAware, Engine: engineSettings()}
	settings.Engine.PrefillRate = 10_000_000
	cluster, err := StartCluster(ctx, settings)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	through := baseLoad(cluster.Targets)
	direct := baseLoad(cluster.EngineTargets)
	direct.EngineModel = model
	mcload.Run(ctx, warmUpLoad(cluster.Targets))
	directFirstToken := mcload.Run(ctx, direct).Row("short", mcload.PhaseBase).FirstToken
	throughFirstToken := mcload.Run(ctx, through).Row("short", mcload.PhaseBase).FirstToken
	fmt.Fprintln(w, "| first token | direct ms | through an entry instance ms | added ms |")
	fmt.Fprintln(w, "|---|---|---|---|")
	fmt.Fprintf(w, "| p50 | %.2f | %.2f | %.2f |\n", directFirstToken.P50, throughFirstToken.P50, throughFirstToken.P50-directFirstToken.P50)
	fmt.Fprintf(w, "| p99 | %.2f | %.2f | %.2f |\n", directFirstToken.P99, throughFirstToken.P99, throughFirstToken.P99-directFirstToken.P99)
	return nil
}

// LoadPeak measures interactive short requests during a load peak: the arrival rate rises
// fivefold within 2 s while refused callers retry at once.
func LoadPeak(ctx context.Context, w io.Writer, options Options) error {
	fmt.Fprintln(w, "| policy | calm p95 ms | crest p95 ms | ratio | crest whole | crest refused | crest failed | no outcome |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, policy := range options.Policies {
		err := withCluster(ctx, policy, func(c *Cluster) error {
			mcload.Run(ctx, warmUpLoad(c.Targets))
			s := baseLoad(c.Targets)
			s.BackgroundCallers, s.Rate, s.Duration = options.LongJobs, peakBaseRate, 3*phaseDuration
			s.RateRise = mcload.RateRise{Start: phaseDuration, Ramp: 2 * time.Second, Length: phaseDuration, Factor: 5}
			report := mcload.Run(ctx, s)
			base, peak := report.Row("short", mcload.PhaseBase), report.Row("short", mcload.PhasePeak)
			fmt.Fprintf(w, "| %s | %.1f | %.1f | %.2f | %d | %d | %d | %d |\n", policy, base.FirstToken.P95, peak.FirstToken.P95,
				peak.FirstToken.P95/base.FirstToken.P95, peak.Outcomes[mcload.OutcomeComplete], peak.Outcomes[mcload.OutcomeRefused],
				peak.Outcomes[mcload.OutcomeFailed], countWithoutOutcome(report))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// countWithoutOutcome counts the callers that got neither a complete answer to their prompt nor
// an error, and those that the load generator skipped.
func countWithoutOutcome(report *mcload.Report) int {
	n := report.Skipped()
	for _, row := range report.Rows() {
		n += row.Outcomes[mcload.OutcomeNoAnswer] + row.Outcomes[mcload.OutcomeTruncated] + row.Outcomes[mcload.OutcomeWrongPrompt]
	}
	return n
}

// peakBaseRate is the base arrival rate of LoadPeak in requests per second. It uses two fifths
// of the engines' capacity, so that the fivefold peak is at twice the capacity.
const peakBaseRate = 36

// Goodput measures the rate of complete answers at arrival rates from half to three times the
// engines' capacity.
func Goodput(ctx context.Context, w io.Writer, options Options) error {
	fmt.Fprintln(w, "| policy | load | callers a second | whole a second | refused | failed | no outcome |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, policy := range options.Policies {
		for _, factor := range []float64{0.5, 1, 1.5, 2, 3} {
			err := withCluster(ctx, policy, func(c *Cluster) error { return measureGoodput(ctx, c, w, policy, factor) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// prefillCapacityRate is the prefill capacity of all engines in short requests per second:
// 16 engines at 12,500 tokens per second, divided by a mean prompt of 2,164 tokens.
const prefillCapacityRate = 92

// measureGoodput measures one row of Goodput; factor is the arrival rate relative to
// prefillCapacityRate.
func measureGoodput(ctx context.Context, c *Cluster, w io.Writer, policy string, factor float64) error {
	mcload.Run(ctx, warmUpLoad(c.Targets))
	s := baseLoad(c.Targets)
	s.Rate = factor * prefillCapacityRate
	s.Classes[0].Deadline = 3 * time.Second
	row := mcload.Run(ctx, s).Row("short", mcload.PhaseBase)
	perSecond := func(n int) float64 { return float64(n) / s.Duration.Seconds() }
	_, err := fmt.Fprintf(w, "| %s | %.1f | %.0f | %.0f | %d | %d | %d |\n", policy, factor, perSecond(row.Callers),
		perSecond(row.Outcomes[mcload.OutcomeComplete]), row.Outcomes[mcload.OutcomeRefused], row.Outcomes[mcload.OutcomeFailed], row.Outcomes[mcload.OutcomeNoAnswer])
	return err
}
