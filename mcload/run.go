package mcload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marigoldcroft/mcclock"
	"marigoldcroft/mcsocket"
)

const maxIdleConnections = 4096

// Run generates the load that settings describe and returns the report. It ends when every
// caller has an outcome, or soon after ctx ends.
func Run(ctx context.Context, settings Settings) *Report {
	if settings.MaxAttempts == 0 {
		settings.MaxAttempts = 1 << 20
	}
	if settings.MaxCallers == 0 {
		settings.MaxCallers = 10000
	}
	g := &generator{
		settings:    &settings,
		report:      newReport(),
		rng:         rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		callerSlots: make(chan struct{}, settings.MaxCallers),
		balancer:    newBalancer(settings.Targets),
		client: mcsocket.NewClient(&http.Transport{
			MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		}),
	}
	g.filler = newFillerText(g.rng)
	g.run(ctx)
	g.client.CloseIdleConnections()
	return g.report
}

// generator starts callers at the times of an open-loop Poisson arrival process: arrivals
// do not wait for earlier callers to finish.
type generator struct {
	settings *Settings
	report   *Report
	rng      *rand.Rand
	filler   string
	client   *http.Client
	balancer *balancer
	// callerSlots is a semaphore that holds one token per active caller.
	callerSlots chan struct{}
	callers     sync.WaitGroup
}

// run keeps the background callers running while it starts callers for Duration, and then
// waits for all of them. Background requests that are unfinished by then are cancelled.
func (g *generator) run(ctx context.Context) {
	healthCtx, stopHealthChecks := context.WithCancel(ctx)
	var healthChecks sync.WaitGroup
	if g.settings.HealthChecks {
		healthChecks.Go(func() { g.balancer.checkHealth(healthCtx) })
	}
	defer healthChecks.Wait()
	defer stopHealthChecks()
	start := time.Now()
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	for range g.settings.BackgroundCallers {
		seed := g.rng.Uint64()
		g.callers.Go(func() { g.runBackground(backgroundCtx, seed) })
	}
	for due := time.Duration(0); due < g.settings.Duration; {
		if !mcclock.Sleep(ctx, due-time.Since(start)) {
			break
		}
		g.startCaller(ctx, due)
		rate := g.settings.Rate * g.settings.RateRise.rateFactor(due)
		due += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
	}
	stopBackground()
	g.callers.Wait()
}

// startCaller starts one caller, or counts it as skipped if MaxCallers are already active.
func (g *generator) startCaller(ctx context.Context, due time.Duration) {
	c := g.newCaller(pickClass(g.rng, g.settings.Classes), g.rng)
	select {
	case g.callerSlots <- struct{}{}:
	default:
		g.report.addSkipped()
		return
	}
	phase := g.settings.RateRise.phaseAt(due)
	g.callers.Go(func() {
		defer func() { <-g.callerSlots }()
		result, attempts := c.run(ctx)
		g.report.add(c.class.Name, phase, result, attempts)
	})
}

// newCaller returns a caller for one request of the class.
func (g *generator) newCaller(class Class, rng *rand.Rand) *caller {
	return &caller{
		settings: g.settings, client: g.client, balancer: g.balancer, class: class,
		prompt: newPrompt(rng, g.filler, class), seed: rng.Uint64(),
	}
}

// runBackground sends requests of BackgroundClass one after another until ctx ends. A
// request that is cancelled by the end of ctx is not reported.
func (g *generator) runBackground(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		c := g.newCaller(g.settings.BackgroundClass, rng)
		result, attempts := c.run(ctx)
		if ctx.Err() != nil {
			return
		}
		g.report.add(c.class.Name, PhaseBase, result, attempts)
		if result.outcome != OutcomeComplete && !mcclock.Sleep(ctx, minRetryDelay) {
			return
		}
	}
}
