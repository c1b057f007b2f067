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

// Durations, rates and sizes of the measurements for the capacity page.
const (
	capacityMembershipDuration = 20 * time.Second
	propagatedChanges          = 50
	decisionCount              = 20_000
	measuredTeams              = 40_000
	servingCostDuration        = 5 * time.Second
	servingCostRate            = 100
)

// measuredCosts holds the measured costs from which the capacity page is calculated.
type measuredCosts struct {
	membership             []mcmember.MembershipCost
	detection              mcmember.DetectionTimes
	movedKeyShare          float64
	movedKeyShareOfRack    float64
	bootByTeams            map[int]mcconfig.BootResult
	propagationByInstances map[int]mcconfig.PropagationResult
	actions                mcledger.MeasureResult
	jobByTokens            map[int]mcjob.MeasureResult
	decisionByEndpoints    map[int]time.Duration
	bytesPerTeam           float64
	cpuPerRequest          time.Duration
	cpuPerToken            time.Duration
}

// measureCosts measures each cost once.
func measureCosts(ctx context.Context) (measuredCosts, error) {
	s := measuredCosts{
		bootByTeams: make(map[int]mcconfig.BootResult), propagationByInstances: make(map[int]mcconfig.PropagationResult),
		jobByTokens: make(map[int]mcjob.MeasureResult), decisionByEndpoints: make(map[int]time.Duration),
	}
	for _, n := range []int{10, instancesPerDataCentre, 100} {
		s.membership = append(s.membership, mcmember.MeasureCost(n, int(float64(n)*endpointsPerMember), capacityMembershipDuration))
	}
	s.detection = mcmember.MeasureDetection(instancesPerDataCentre, endpointsPerDataCentre, 1, detectionTrials, 0, false)
	s.movedKeyShare, _ = mcmember.MeasureKeyMoves(instancesPerDataCentre, 1, sampledKeys)
	s.movedKeyShareOfRack, _ = mcmember.MeasureKeyMoves(instancesPerDataCentre, 4, sampledKeys)
	if err := s.measureStoreUsers(ctx); err != nil {
		return s, err
	}
	for _, n := range []int{endpointsPerDataCentre, 600} {
		s.decisionByEndpoints[n] = measureDecision(n)
	}
	s.bytesPerTeam = measureBytesPerTeam()
	return s, s.measureServing(ctx)
}

// measureStoreUsers measures the parts that keep their state in the object store: configuration,
// at-most-once actions and jobs.
func (s *measuredCosts) measureStoreUsers(ctx context.Context) error {
	var err error
	for _, teams := range []int{10_000, 20_000, measuredTeams} {
		if s.bootByTeams[teams], err = mcconfig.MeasureBoot(ctx, teams); err != nil {
			return err
		}
	}
	for _, followers := range []int{9, 40} {
		if s.propagationByInstances[followers], err = mcconfig.MeasurePropagation(ctx, followers, propagatedChanges); err != nil {
			return err
		}
	}
	s.actions = mcledger.Measure(ctx, mcledger.MeasureConfig{
		Concurrency: 256, Actions: actionCount, Shards: mcledger.ShardCount, StoreLatency: storeDelay,
	})
	for _, tokens := range []int{1000, 100_000, 1_000_000} {
		if s.jobByTokens[tokens], err = mcjob.Measure(ctx, tokens, 500, seed); err != nil {
			return err
		}
	}
	return nil
}

// measureDecision returns the mean time of one scheduling decision with its bookkeeping
// (Submit, FirstToken, Finish) for a number of endpoints.
func measureDecision(endpoints int) time.Duration {
	scheduler, err := mcscheduler.New(mcscheduler.PolicyLengthAware, mcscheduler.Default())
	if err != nil {
		panic(err) // the default settings are always valid
	}
	now := time.Now()
	var list []marigoldcroft.Endpoint
	for i := range endpoints {
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: fmt.Sprintf("engine-%d", i), Kind: marigoldcroft.EndpointEngine, Pool: model,
		}))
	}
	scheduler.SetEndpoints(now, list)
	works := make([]marigoldcroft.Work, decisionCount)
	for i := range works {
		works[i] = marigoldcroft.Work{
			ID: marigoldcroft.NewStreamID(fmt.Sprint(i), 1), Team: "t", Model: model, Weight: 1,
			Deadline: now.Add(time.Hour), PromptTokens: 2000, OutputTokens: 200,
		}
	}
	start := time.Now()
	for i := range works {
		at := now.Add(time.Duration(i) * time.Microsecond)
		scheduler.Submit(at, works[i])
		scheduler.FirstToken(at, works[i].ID)
		scheduler.Finish(at, works[i].ID, marigoldcroft.Completion{})
	}
	return time.Since(start) / decisionCount
}

// measureBytesPerTeam returns the heap memory in bytes that the limits of one active team
// take.
func measureBytesPerTeam() float64 {
	before := liveHeapBytes()
	limiter := &mclimit.Limiter{}
	now := time.Now()
	for i := range measuredTeams {
		team := marigoldcroft.NewTeam(marigoldcroft.TeamSpec{Name: fmt.Sprintf("team-%d", i), TokensPerSecond: 1000, Concurrency: 10})
		limiter.Admit(now, team, 1000, false)
	}
	after := liveHeapBytes()
	runtime.KeepAlive(limiter)
	return float64(after-before) / measuredTeams
}

// liveHeapBytes returns the size of the live heap in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureServing measures the processor time of streamed requests at two answer lengths and
// derives a cost per request and a cost per token from it. The time includes that of the load
// generator and the engines, so that both costs are upper bounds.
func (s *measuredCosts) measureServing(ctx context.Context) error {
	settings := ClusterSettings{Entries: 1, Engines: 4, Policy: mcscheduler.PolicyLengthAware, Engine: engineSettings()}
	settings.Engine.PrefillRate, settings.Engine.TokenTime = 10_000_000, time.Millisecond
	cluster, err := StartCluster(ctx, settings)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	const shortAnswer, longAnswer = 5, 205
	short := cpuPerCaller(ctx, cluster, shortAnswer)
	long := cpuPerCaller(ctx, cluster, longAnswer)
	s.cpuPerToken = max(0, (long-short)/(longAnswer-shortAnswer))
	s.cpuPerRequest = max(0, short-shortAnswer*s.cpuPerToken)
	return nil
}

// cpuPerCaller returns the mean processor time of one caller's request, without that of the
// idle cluster.
func cpuPerCaller(ctx context.Context, c *Cluster, tokens int) time.Duration {
	idle := processCPUTime()
	<-time.After(servingCostDuration)
	idle = processCPUTime() - idle
	settings := baseLoad(c.Targets)
	settings.Rate, settings.Duration, settings.Classes[0].OutputTokens = servingCostRate, servingCostDuration, tokens
	used := processCPUTime()
	callers := mcload.Run(ctx, settings).Row("short", mcload.PhaseBase).Callers
	used = processCPUTime() - used
	return (used - idle) / time.Duration(max(1, callers))
}

// processCPUTime returns the user and system CPU time of the process; it is 0 if the system
// call fails.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
