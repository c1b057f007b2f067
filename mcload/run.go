package mcload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marigoldcroft/mcclock"
)

const maxIdleConnections = 4096

// Run generates the load that settings describe and returns the report. It ends when every
// caller has an outcome, or soon after ctx ends.
func Run(ctx context.Context, settings Settings) *Report {
	if settings.MaxTries == 0 {
		settings.MaxTries = 1 << 20
	}
	if settings.MaxCallers == 0 {
		settings.MaxCallers = 10000
	}
	g := &generator{
		settings: &settings,
		report:   newReport(),
		rng:      rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		slots:    make(chan struct{}, settings.MaxCallers),
		balancer: newBalancer(settings.Targets),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		}},
	}
	g.filler = newFiller(g.rng)
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
	// slots is a semaphore that holds one token per active caller.
	slots   chan struct{}
	callers sync.WaitGroup
}

// run keeps the resident callers running while it starts callers for Duration, and then
// waits for all of them. Resident requests that are unfinished by then are cancelled.
func (g *generator) run(ctx context.Context) {
	checks, endChecks := context.WithCancel(ctx)
	var checking sync.WaitGroup
	if g.settings.HealthChecks {
		checking.Go(func() { g.balancer.check(checks) })
	}
	defer checking.Wait()
	defer endChecks()
	start := time.Now()
	residents, stop := context.WithCancel(ctx)
	for range g.settings.Resident {
		seed := g.rng.Uint64()
		g.callers.Go(func() { g.keepResident(residents, seed) })
	}
	for due := time.Duration(0); due < g.settings.Duration; {
		if !mcclock.Sleep(ctx, due-time.Since(start)) {
			break
		}
		g.start(ctx, due)
		rate := g.settings.Rate * g.settings.Swing.factor(due)
		due += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
	}
	stop()
	g.callers.Wait()
}

// start starts one caller, or counts it as skipped if MaxCallers are already active.
func (g *generator) start(ctx context.Context, due time.Duration) {
	c := g.caller(pick(g.rng, g.settings.Classes), g.rng)
	select {
	case g.slots <- struct{}{}:
	default:
		g.report.notSent()
		return
	}
	part := g.settings.Swing.part(due)
	g.callers.Go(func() {
		defer func() { <-g.slots }()
		result, tries := c.run(ctx)
		g.report.add(c.class.Name, part, result, tries)
	})
}

// caller returns a caller for one request of the class.
func (g *generator) caller(class Class, rng *rand.Rand) *caller {
	return &caller{
		settings: g.settings, client: g.client, balancer: g.balancer, class: class,
		prompt: newPrompt(rng, g.filler, class), seed: rng.Uint64(),
	}
}

// keepResident sends requests of the resident class one after another until ctx ends. A
// request that is cancelled by the end of ctx is not reported.
func (g *generator) keepResident(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		c := g.caller(g.settings.ResidentClass, rng)
		result, tries := c.run(ctx)
		if ctx.Err() != nil {
			return
		}
		g.report.add(c.class.Name, PartCalm, result, tries)
		if result.outcome != OutcomeWhole && !mcclock.Sleep(ctx, minRetryPause) {
			return
		}
	}
}
