package mcemulate

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

const (
	// pollInterval is the time between two polls of a scheduler.
	pollInterval = 10 * time.Millisecond
	// eventsPerProgressReport is the number of stream events between two progress reports to the
	// scheduler.
	eventsPerProgressReport = 5
	// defaultNetworkDelay is the delay from an instance to an engine unless the experiment sets one.
	defaultNetworkDelay = time.Millisecond
	// retryDelay is the time after which a refused caller submits its request again.
	retryDelay = 10 * time.Millisecond
	poolName   = "pool"
	// The value of an answer grows with the prompt and is 1 at the mean prompt size of its
	// class. minValue is the value as the prompt size approaches zero, maxValue is the upper
	// bound, and defaultLateShare is the share of the value that an answer keeps if it is late
	// or paused too long. The users' sites value answers in this way.
	minValue         = 0.3
	maxValue         = 4.0
	defaultLateShare = 0.25
)

type (
	// Class describes a class of requests: its arrivals, sizes and service objectives.
	Class struct {
		Name string
		// ArrivalRate returns the arrival rate in requests per second at a simulated time. Rates
		// above 500 have the effect of 500.
		ArrivalRate func(at time.Duration) float64
		// Prompt and Output are mean lengths in tokens. Both lengths are log-normal;
		// LogDeviation is the standard deviation of their logarithms. MaxPrompt caps the prompt;
		// 0 means no cap.
		Prompt, Output, MaxPrompt float64
		LogDeviation              float64
		// Objective is the target for the time to first token; MaxPause is the longest
		// acceptable time between two events of a stream.
		Objective, MaxPause time.Duration
		// Deadline is the time after which an unfinished request is cancelled.
		Deadline time.Duration
		// Team and Rank are passed to the scheduler.
		Team string
		Rank int
		// LateShare is the share of its value that a late or paused answer keeps; 0 means
		// defaultLateShare.
		LateShare float64
		// Retries is how often a refused caller submits its request again, without backoff.
		Retries int
		// Patience is the time without a first token after which a caller leaves; 0 means that
		// callers stay until their deadline.
		Patience time.Duration
	}

	// Loss removes engines at a point in time: their requests fail, and all instances see them gone.
	Loss struct {
		At time.Duration
		// Engines is the number of engines that are lost, counted from the first one.
		Engines int
	}

	// Experiment is the configuration of one simulation run. It must not change during Run.
	Experiment struct {
		Policy    string
		Figures   marigoldcroft.EnginePerformance
		Engines   int
		Instances int
		// ReportInterval is the interval at which each instance reports its in-flight work to
		// the others; 0 disables the reports.
		ReportInterval time.Duration
		// FarReportInterval is the interval at which it reports to instances of other subsets; 0 means
		// ReportInterval.
		FarReportInterval time.Duration
		// Callers is the number of callers, each of which is connected to an instance drawn at random;
		// 0 means that all instances get the same load.
		Callers int
		// ReportDelay is the time that a report takes to arrive.
		ReportDelay time.Duration
		// NetworkDelay is the delay between an instance and an engine, in each direction. The default of
		// 0 means 1 ms towards the engine and none back.
		NetworkDelay time.Duration
		// Yield switches on yielding in the schedulers.
		Yield bool
		// Losses are in order of time.
		Losses []Loss
		// Length is the time during which requests arrive.
		Length  time.Duration
		Classes []Class
		Seed    uint64
		// Slowdown maps the index of an engine to the factor by which it is slower than its
		// published figures.
		Slowdown map[int]float64
	}

	// Result summarises the requests of one class.
	Result struct {
		Class string
		// Requests counts all requests. Served counts those that completed before their deadline.
		// OnTime counts served requests that met their class's objective and MaxPause; Paused
		// counts served requests with a pause above MaxPause. Refused counts requests that the
		// scheduler refused, or expired before they ran.
		Requests, OnTime, Served, Refused, Paused int
		// Attempts counts submissions, of which there are more than requests if callers retry.
		Attempts int
		// FirstP50 and FirstP95 are percentiles of the time to first token of served requests.
		FirstP50, FirstP95 time.Duration
		// totalValue is the value of all requests. earnedValue is the value of the served
		// requests, reduced for those that were late or paused too long.
		totalValue, earnedValue float64
		firstTokenTimes         []time.Duration
	}

	request struct {
		id           marigoldcroft.StreamID
		number       int
		class        int
		instance     int
		arrived      time.Duration
		promptTokens int64
		outputTokens int64
		engine       *engine
		helpers      []*engine
		ownPart      *promptPart
		pendingParts int
		decoding     bool
		removed      bool
		retries      int
		eventCount   int
		firstTokenAt time.Duration
		lastEventAt  time.Duration
		longestPause time.Duration
		// shortestPause is the shortest pause between two stream events. The time from the
		// first token to the next event does not count.
		shortestPause time.Duration
	}

	// event is an action scheduled for a simulated time; sequence breaks ties.
	event struct {
		at       time.Duration
		sequence uint64
		action   func()
	}

	// eventQueue is a priority queue by time and sequence; it implements heap.Interface.
	eventQueue []event

	// simulation is the state of one run of an experiment.
	simulation struct {
		Experiment
		rng          *rand.Rand
		now          time.Duration
		epoch        time.Time
		queue        eventQueue
		lastSequence uint64
		engines      []*engine
		engineByName map[string]*engine
		schedulers   []marigoldcroft.Scheduler
		requests     map[marigoldcroft.StreamID]*request
		results      []Result
		requestCount int
		// callerInstances holds the instance of each caller.
		callerInstances []int
		// farReportAt is when each instance reports to other subsets next.
		farReportAt []time.Duration
		// reported holds the engines that the previous report of each instance listed.
		reported []map[string]marigoldcroft.InFlight
		lost     int
	}
)

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Run simulates the experiment until no event is left, and for at most one minute after
// Length. It is deterministic: equal experiments give equal results.
func (x Experiment) Run() ([]Result, error) {
	r := &simulation{
		Experiment: x, rng: rand.New(rand.NewPCG(x.Seed, x.Seed)), epoch: time.Unix(1_000_000, 0),
		engineByName: make(map[string]*engine), requests: make(map[marigoldcroft.StreamID]*request),
	}
	if err := r.build(); err != nil {
		return nil, err
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		if r.now = next.at; r.now > x.Length+time.Minute {
			break
		}
		next.action()
	}
	for i := range r.results {
		r.results[i].computePercentiles()
	}
	return r.results, nil
}

// build creates the engines and the schedulers and schedules the first events.
func (r *simulation) build() error {
	for i := range r.Engines {
		e := &engine{figures: r.Figures, slowdown: max(1, r.Slowdown[i])}
		r.engines = append(r.engines, e)
		r.engineByName[engineName(i)] = e
	}
	names := make([]string, r.Instances)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%04d", i)
	}
	r.farReportAt = make([]time.Duration, r.Instances)
	for range r.Callers {
		r.callerInstances = append(r.callerInstances, r.rng.IntN(r.Instances))
	}
	r.reported = make([]map[string]marigoldcroft.InFlight, r.Instances)
	for i := range r.Instances {
		tuning := mcscheduler.Default()
		tuning.Seed = r.Seed + uint64(i)
		tuning.Yield = r.Yield
		tuning.PrefillTokensPerSecond, tuning.ShortLimit = r.Figures.PrefillTokensPerSecond, 200*time.Millisecond
		s, err := mcscheduler.New(r.Policy, tuning)
		if err != nil {
			return err
		}
		s.SetEndpoints(r.epoch, r.listEndpoints())
		s.SetMembers(r.epoch, names[i], names)
		r.schedulers = append(r.schedulers, s)
		r.schedule(pollInterval, func() { r.pollScheduler(i) })
		if r.ReportInterval > 0 {
			r.schedule(time.Duration(i)*r.ReportInterval/time.Duration(r.Instances), func() { r.reportInFlight(i) })
		}
	}
	for i, c := range r.Classes {
		r.results = append(r.results, Result{Class: c.Name})
		r.scheduleArrival(i)
	}
	for _, l := range r.Losses {
		r.schedule(l.At, func() { r.loseEngines(l.Engines) })
	}
	return nil
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// listEndpoints returns the endpoints of the engines that are not lost.
func (r *simulation) listEndpoints() []marigoldcroft.Endpoint {
	var endpoints []marigoldcroft.Endpoint
	for i := r.lost; i < r.Engines; i++ {
		endpoints = append(endpoints, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: engineName(i), Kind: marigoldcroft.EndpointEngine, Pool: poolName, Slots: r.Figures.Slots, Performance: r.Figures,
		}))
	}
	return endpoints
}

// loseEngines removes the given number of engines. Requests that run there, or that have a part of
// their prompt there, fail.
func (r *simulation) loseEngines(n int) {
	lost := make(map[*engine]bool)
	for i := range n {
		lost[r.engines[i]] = true
	}
	r.lost = max(r.lost, n)
	var failed []*request
	for _, q := range r.requests {
		if lost[q.engine] || slices.ContainsFunc(q.helpers, func(e *engine) bool { return lost[e] }) {
			failed = append(failed, q)
		}
	}
	slices.SortFunc(failed, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	for _, q := range failed {
		r.finish(q, false)
	}
	for _, s := range r.schedulers {
		s.SetEndpoints(r.simulatedTime(), r.listEndpoints())
	}
}

// schedule adds an action to the event queue, to run after a simulated delay.
func (r *simulation) schedule(delay time.Duration, action func()) {
	r.lastSequence++
	heap.Push(&r.queue, event{at: r.now + delay, sequence: r.lastSequence, action: action})
}

// simulatedTime returns the current simulated time in the form that the schedulers take.
func (r *simulation) simulatedTime() time.Time { return r.epoch.Add(r.now) }

// scheduleArrival schedules the next arrival of a class. It draws candidate arrivals from a
// Poisson process of maxRate requests per second, the highest rate that an experiment file
// allows, and keeps as many of them as the current rate requires (thinning).
func (r *simulation) scheduleArrival(class int) {
	const maxRate = 500.0
	c := r.Classes[class]
	wait := time.Duration(r.rng.ExpFloat64() / maxRate * float64(time.Second))
	r.schedule(wait, func() {
		if r.now >= r.Length {
			return
		}
		if r.rng.Float64() < c.ArrivalRate(r.now)/maxRate {
			r.submitRequest(class)
		}
		r.scheduleArrival(class)
	})
}

// sampleTokens draws a token count from a log-normal distribution with the given mean. Counts
// above limit are set to limit; a limit of 0 means no limit.
func (r *simulation) sampleTokens(mean, logDeviation, limit float64) int64 {
	n := mean * math.Exp(logDeviation*r.rng.NormFloat64()-logDeviation*logDeviation/2)
	if limit > 0 {
		n = math.Min(n, limit)
	}
	return int64(math.Max(1, n))
}

// submitRequest creates a request and submits it to the scheduler of a random instance. The
// request is cancelled if it is unfinished at its deadline.
func (r *simulation) submitRequest(class int) {
	c := r.Classes[class]
	r.requestCount++
	q := &request{
		id: marigoldcroft.NewStreamID(fmt.Sprintf("r%d", r.requestCount), 1), class: class, instance: r.drawInstance(),
		arrived: r.now, shortestPause: math.MaxInt64, promptTokens: r.sampleTokens(c.Prompt, c.LogDeviation, c.MaxPrompt), outputTokens: r.sampleTokens(c.Output, c.LogDeviation, 3*c.Output),
	}
	q.number = r.requestCount
	r.results[class].Requests++
	r.results[class].totalValue += r.value(q)
	r.submit(q)
}

// submit submits an attempt of the request. The scheduler counts objective and deadline from the
// attempt, as it cannot know of earlier ones.
func (r *simulation) submit(q *request) {
	c := r.Classes[q.class]
	r.requests[q.id] = q
	r.results[q.class].Attempts++
	id := q.id
	r.execute(r.schedulers[q.instance].Submit(r.simulatedTime(), marigoldcroft.Work{
		ID: id, Model: poolName, Team: c.Team, Rank: c.Rank, Deadline: r.simulatedTime().Add(c.Deadline), Objective: r.simulatedTime().Add(c.Objective),
		PromptTokens: q.promptTokens, OutputTokens: q.outputTokens,
	}))
	r.schedule(c.Deadline, func() {
		if r.requests[id] != nil {
			r.finish(q, false)
		}
	})
	if c.Patience > 0 {
		r.schedule(c.Patience, func() {
			if r.requests[id] != nil && !q.decoding {
				r.finish(q, false)
			}
		})
	}
}

// refused counts a refusal, and submits the request again if its caller does so.
func (r *simulation) refused(q *request) {
	delete(r.requests, q.id)
	if q.retries >= r.Classes[q.class].Retries {
		r.results[q.class].Refused++
		return
	}
	q.retries++
	r.requestCount++
	q.id = marigoldcroft.NewStreamID(fmt.Sprintf("r%d", r.requestCount), 1)
	r.schedule(retryDelay, func() { r.submit(q) })
}

// drawInstance draws the instance at which a request arrives.
func (r *simulation) drawInstance() int {
	if r.Callers == 0 {
		return r.rng.IntN(r.Instances)
	}
	return r.callerInstances[r.rng.IntN(r.Callers)]
}

// execute carries out a scheduling decision. Decisions for requests that have ended are
// ignored.
func (r *simulation) execute(d marigoldcroft.Decision) {
	q := r.requests[d.ID]
	if q == nil {
		return
	}
	switch d.Action {
	case marigoldcroft.ActionRefuse, marigoldcroft.ActionExpire:
		r.refused(q)
	case marigoldcroft.ActionDispatch:
		q.engine = r.engineByName[d.Endpoint]
		for _, name := range d.Helpers {
			q.helpers = append(q.helpers, r.engineByName[name])
		}
		r.schedule(cmp.Or(r.NetworkDelay, defaultNetworkDelay), func() { r.startPrefill(q) })
	}
}

// startPrefill splits the prompt into equal parts for the request's engine and its helpers.
// Helpers get their parts at once, the request's own engine when the request gets a slot.
func (r *simulation) startPrefill(q *request) {
	if q.removed {
		return
	}
	partCount := float64(len(q.helpers) + 1)
	secondsPerToken := prefillSeconds(&r.Figures, q.promptTokens) / float64(q.promptTokens)
	newPart := func() *promptPart {
		return &promptPart{request: q, tokensLeft: float64(q.promptTokens) / partCount, secondsPerToken: secondsPerToken}
	}
	q.ownPart, q.pendingParts = newPart(), len(q.helpers)+1
	q.engine.queued = append(q.engine.queued, q)
	r.startPass(q.engine)
	for _, helper := range q.helpers {
		helper.parts = append(helper.parts, newPart())
		r.startPass(helper)
	}
}

// startPass starts the next forward pass of an engine, unless a pass is running or the engine
// is idle.
func (r *simulation) startPass(e *engine) {
	if e.busy {
		return
	}
	duration, prefilled, decoded := e.runPass()
	if duration == 0 {
		return
	}
	e.busy = true
	r.schedule(duration, func() {
		e.busy = false
		for _, q := range decoded {
			r.deliverEvent(q)
		}
		for _, q := range prefilled {
			r.startDecode(q)
		}
		r.startPass(e)
	})
}

// startDecode ends the prefill of a request and makes it decode in the following passes.
func (r *simulation) startDecode(q *request) {
	if q.removed || r.requests[q.id] == nil {
		return
	}
	q.decoding, q.firstTokenAt, q.lastEventAt = true, r.now, r.now
	r.schedulers[q.instance].FirstToken(r.simulatedTime(), q.id)
	r.startPass(q.engine)
}

// deliverEvent delivers one stream event, which carries the tokens of one pass, and ends the
// request after its last token.
func (r *simulation) deliverEvent(q *request) {
	if q.removed {
		return
	}
	pause := r.now - q.lastEventAt
	q.longestPause = max(q.longestPause, pause)
	q.lastEventAt = r.now
	if q.eventCount++; q.eventCount > 1 {
		q.shortestPause = min(q.shortestPause, pause)
	}
	if q.eventCount%eventsPerProgressReport == 0 {
		r.schedulers[q.instance].ObservePassTime(r.simulatedTime(), q.id, q.shortestPause)
	}
	if q.eventCount*max(1, r.Figures.StepsPerPass) >= int(q.outputTokens) {
		r.finish(q, true)
	}
}

// finish removes a request from its engine, reports its completion to the scheduler and counts
// it if it was served whole.
func (r *simulation) finish(q *request, complete bool) {
	delete(r.requests, q.id)
	completion := marigoldcroft.Completion{Succeeded: complete, PromptTokens: q.promptTokens, OutputTokens: q.outputTokens, Total: r.now - q.arrived}
	if q.engine != nil {
		q.engine.remove(q)
		completion.FirstToken = q.firstTokenAt - q.arrived
	}
	r.schedulers[q.instance].Finish(r.simulatedTime(), q.id, completion)
	if !complete {
		return
	}
	result, c := &r.results[q.class], r.Classes[q.class]
	result.Served++
	first, lateShare := q.firstTokenAt+r.NetworkDelay-q.arrived, cmp.Or(c.LateShare, defaultLateShare)
	result.earnedValue += lateShare * r.value(q)
	result.firstTokenTimes = append(result.firstTokenTimes, first)
	switch {
	case q.longestPause > c.MaxPause:
		result.Paused++
	case first <= c.Objective:
		result.OnTime++
		result.earnedValue += (1 - lateShare) * r.value(q)
	}
}

// value returns the value of a whole answer on time, which depends on the prompt's size.
func (r *simulation) value(q *request) float64 {
	return min(maxValue, minValue+(1-minValue)*float64(q.promptTokens)/r.Classes[q.class].Prompt)
}

// pollScheduler polls the scheduler of one instance and executes the decisions that are due.
func (r *simulation) pollScheduler(instance int) {
	for _, d := range r.schedulers[instance].Poll(r.simulatedTime(), nil) {
		r.execute(d)
	}
	if r.now < r.Length || len(r.requests) > 0 {
		r.schedule(pollInterval, func() { r.pollScheduler(instance) })
	}
}

// reportInFlight reports the in-flight work of one instance to the schedulers of all others.
func (r *simulation) reportInFlight(instance int) {
	work, before := r.schedulers[instance].InFlight(), r.reported[instance]
	r.reported[instance] = work
	name := fmt.Sprintf("instance-%d", instance)
	far := r.now >= r.farReportAt[instance]
	if far {
		r.farReportAt[instance] = r.now + r.FarReportInterval
	}
	subsets := marigoldcroft.SubsetCount(r.Instances)
	r.schedule(r.ReportDelay, func() {
		for i, s := range r.schedulers {
			if i == instance || !far && i%subsets != instance%subsets {
				continue
			}
			for e := range r.engines {
				endpoint := engineName(e)
				// Members of the subset already know of the other engines that there is nothing.
				if far || work[endpoint] != (marigoldcroft.InFlight{}) || before[endpoint] != (marigoldcroft.InFlight{}) {
					s.ObservePeer(r.simulatedTime(), name, endpoint, work[endpoint])
				}
			}
		}
	})
	if r.now < r.Length || len(r.requests) > 0 {
		r.schedule(r.ReportInterval, func() { r.reportInFlight(instance) })
	}
}

// computePercentiles computes the percentiles of the time to first token.
func (r *Result) computePercentiles() {
	if len(r.firstTokenTimes) == 0 {
		return
	}
	slices.Sort(r.firstTokenTimes)
	r.FirstP50 = r.firstTokenTimes[len(r.firstTokenTimes)/2]
	r.FirstP95 = r.firstTokenTimes[len(r.firstTokenTimes)*95/100]
}

// OnTimeShare returns the share of all requests that met their objective and MaxPause; it
// is 1 if there were none.
func (r Result) OnTimeShare() float64 {
	if r.Requests == 0 {
		return 1
	}
	return float64(r.OnTime) / float64(r.Requests)
}

// ValueShare returns the share of the value of all requests that was earned by served
// ones; it is 1 if there were none.
func (r Result) ValueShare() float64 {
	if r.totalValue == 0 {
		return 1
	}
	return r.earnedValue / r.totalValue
}
