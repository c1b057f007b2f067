package mcmeasure

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcjob"
	"marigoldcroft/mcledger"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcload"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcscheduler"
)

const (
	slopeControl = 20 * time.Second
	slopeChanges = 50
	decisions    = 20_000
	slopeTeams   = 40_000
	slopeLoad    = 5 * time.Second
	slopeRate    = 100
)

// slopes are the measured costs that the capacity page is worked out from.
type slopes struct {
	control    []mcmember.MembershipCost
	detection  mcmember.DetectionTimes
	moved      float64
	movedRack  float64
	boots      map[int]mcconfig.BootResult
	spread     map[int]mcconfig.PropagationResult
	actions    mcledger.MeasureResult
	jobs       map[int]mcjob.MeasureResult
	decision   map[int]time.Duration
	teamBytes  float64
	cpuRequest time.Duration
	cpuToken   time.Duration
}

// measureSlopes measures everything once.
func measureSlopes(ctx context.Context) (slopes, error) {
	s := slopes{
		boots: make(map[int]mcconfig.BootResult), spread: make(map[int]mcconfig.PropagationResult),
		jobs: make(map[int]mcjob.MeasureResult), decision: make(map[int]time.Duration),
	}
	for _, n := range []int{10, centreInstances, 100} {
		s.control = append(s.control, mcmember.MeasureCost(n, int(float64(n)*endpointsPerMember), slopeControl))
	}
	s.detection = mcmember.MeasureDetection(centreInstances, centreEndpoints, 1, detectionTrials, 0, false)
	s.moved, _ = mcmember.MeasureKeyMoves(centreInstances, 1, movedKeys)
	s.movedRack, _ = mcmember.MeasureKeyMoves(centreInstances, 4, movedKeys)
	if err := s.measureStored(ctx); err != nil {
		return s, err
	}
	for _, n := range []int{centreEndpoints, 600} {
		s.decision[n] = measureDecision(n)
	}
	s.teamBytes = measureTeams()
	return s, s.measureServing(ctx)
}

// measureStored measures what keeps its state in the object store.
func (s *slopes) measureStored(ctx context.Context) error {
	var err error
	for _, teams := range []int{10_000, 20_000, slopeTeams} {
		if s.boots[teams], err = mcconfig.MeasureBoot(ctx, teams); err != nil {
			return err
		}
	}
	for _, followers := range []int{9, 40} {
		if s.spread[followers], err = mcconfig.MeasurePropagation(ctx, followers, slopeChanges); err != nil {
			return err
		}
	}
	s.actions = mcledger.Measure(ctx, mcledger.MeasureConfig{
		Concurrency: 256, Actions: actionCount, Shards: mcledger.ShardCount, StoreLatency: storeDelay,
	})
	for _, tokens := range []int{1000, 100_000, 1_000_000} {
		if s.jobs[tokens], err = mcjob.Measure(ctx, tokens, 500, seed); err != nil {
			return err
		}
	}
	return nil
}

// measureDecision returns the time of one decision with its bookkeeping.
func measureDecision(endpoints int) time.Duration {
	scheduler, err := mcscheduler.New(mcscheduler.PolicyLengthAware, mcscheduler.Default())
	if err != nil {
		panic(err) // the default settings are valid
	}
	now := time.Now()
	var list []marigoldcroft.Endpoint
	for i := range endpoints {
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: fmt.Sprintf("engine-%d", i), Kind: marigoldcroft.EndpointEngine, Pool: model,
		}))
	}
	scheduler.SetEndpoints(now, list)
	works := make([]marigoldcroft.Work, decisions)
	for i := range works {
		works[i] = marigoldcroft.Work{
			ID: marigoldcroft.NewStreamID(fmt.Sprint(i), 1), Team: "t", Model: model, Weight: 1,
			Deadline: now.Add(time.Hour), PromptTokens: 2000, OutputTokens: 200,
		}
	}
	begun := time.Now()
	for i := range works {
		at := now.Add(time.Duration(i) * time.Microsecond)
		scheduler.Submit(at, works[i])
		scheduler.FirstToken(at, works[i].ID)
		scheduler.Finish(at, works[i].ID, marigoldcroft.Completion{})
	}
	return time.Since(begun) / decisions
}

// measureTeams returns the heap bytes of one active team's limits.
func measureTeams() float64 {
	before := heap()
	limiter := &mclimit.Limiter{}
	now := time.Now()
	for i := range slopeTeams {
		team := marigoldcroft.NewTeam(marigoldcroft.TeamSpec{Name: fmt.Sprintf("team-%d", i), TokensPerSecond: 1000, Concurrency: 10})
		limiter.Admit(now, team, 1000, false)
	}
	after := heap()
	runtime.KeepAlive(limiter)
	return float64(after-before) / slopeTeams
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureServing splits the processor time of a streamed request into a part per
// request and a part per token, from two answer lengths. The load generator and the
// engine are in it, so that both parts are upper bounds.
func (s *slopes) measureServing(ctx context.Context) error {
	settings := ClusterSettings{Entries: 1, Engines: 4, Policy: mcscheduler.PolicyLengthAware, Engine: engineSettings()}
	settings.Engine.PrefillRate, settings.Engine.TokenTime = 10_000_000, time.Millisecond
	cluster, err := StartCluster(ctx, settings)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	const few, many = 5, 205
	short := perCaller(ctx, cluster, few)
	long := perCaller(ctx, cluster, many)
	s.cpuToken = max(0, (long-short)/(many-few))
	s.cpuRequest = max(0, short-few*s.cpuToken)
	return nil
}

// perCaller returns the processor time of one caller, less that of an idle cluster.
func perCaller(ctx context.Context, c *Cluster, tokens int) time.Duration {
	idle := processorTime()
	<-time.After(slopeLoad)
	idle = processorTime() - idle
	load := load(c.Targets)
	load.Rate, load.Duration, load.Classes[0].OutputTokens = slopeRate, slopeLoad, tokens
	used := processorTime()
	callers := mcload.Run(ctx, load).Row("short", mcload.PartCalm).Callers
	used = processorTime() - used
	return (used - idle) / time.Duration(max(1, callers))
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
