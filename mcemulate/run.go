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
	// progressEvents is the number of stream events between two progress reports to the
	// scheduler.
	progressEvents = 5
	// networkDelay is the delay from an instance to an engine.
	networkDelay = time.Millisecond
	pool         = "pool"
	// The value of an answer grows with the prompt and is 1 at the mean prompt size of its
	// class. leastWorth is the value as the prompt size approaches zero, maxWorth is the upper
	// bound, and lateWorth is the share of the value that a late answer still has. The users'
	// sites value answers in this way.
	leastWorth = 0.3
	maxWorth   = 4.0
	lateWorth  = 0.25
)

type (
	// Class describes a class of requests: its arrivals, sizes and service objectives.
	Class struct {
		Name string
		// PerSecond returns the arrival rate in requests per second at a simulated time. Rates
		// above 500 have the effect of 500.
		PerSecond func(at time.Duration) float64
		// Prompt and Output are mean lengths in tokens. Both lengths are log-normal; Spread is
		// the standard deviation of their logarithms. MaxPrompt caps the prompt; 0 means no cap.
		Prompt, Output, MaxPrompt float64
		Spread                    float64
		// Objective is the target for the time to first token; MaxPause is the longest
		// acceptable time between two events of a stream.
		Objective, MaxPause time.Duration
		// Deadline is the time after which an unfinished request is cancelled.
		Deadline time.Duration
	}

	// Experiment is the configuration of one simulation run. It must not change during Run.
	Experiment struct {
		Policy    string
		Figures   marigoldcroft.EngineFigures
		Engines   int
		Instances int
		// Lag is the interval at which each instance reports its in-flight work to the others;
		// 0 disables the reports.
		Lag time.Duration
		// Length is the time during which requests arrive.
		Length  time.Duration
		Classes []Class
		Seed    uint64
		// Slow maps the index of an engine to the factor by which it is slower than its
		// published figures.
		Slow map[int]float64
	}

	// Result summarises the requests of one class.
	Result struct {
		Class string
		// Asked counts all requests. Served counts those that completed before their deadline.
		// OnTime counts served requests that met their class's objective and MaxPause; Paused
		// counts served requests with a pause above MaxPause. Refused counts requests that the
		// scheduler refused, or expired before they ran.
		Asked, OnTime, Served, Refused, Paused int
		// FirstP50 and FirstP95 are percentiles of the time to first token of served requests.
		FirstP50, FirstP95 time.Duration
		// owed is the total value of all requests. earned is the value of the served requests,
		// reduced for those that were late or paused too long.
		owed, earned float64
		firsts       []time.Duration
	}

	request struct {
		id         marigoldcroft.StreamID
		class      int
		instance   int
		arrived    time.Duration
		prompt     int64
		output     int64
		engine     *engine
		helpers    []*engine
		own        *part
		unread     int
		writing    bool
		gone       bool
		events     int
		firstAt    time.Duration
		lastAt     time.Duration
		worstPause time.Duration
		// shortest is the shortest pause between two stream events. The time from the first
		// token to the next event does not count.
		shortest time.Duration
	}

	// event is an action scheduled for a simulated time; order breaks ties.
	event struct {
		at    time.Duration
		order uint64
		do    func()
	}

	// events is a priority queue by time and order; it implements heap.Interface.
	events []event

	// run is the state of a running simulation.
	run struct {
		Experiment
		random     *rand.Rand
		now        time.Duration
		epoch      time.Time
		queue      events
		order      uint64
		engines    []*engine
		names      map[string]*engine
		schedulers []marigoldcroft.Scheduler
		requests   map[marigoldcroft.StreamID]*request
		results    []Result
		counter    int
	}
)

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Run simulates the experiment until no event is left, and for at most one minute after
// Length. It is deterministic: equal experiments give equal results.
func (x Experiment) Run() ([]Result, error) {
	r := &run{
		Experiment: x, random: rand.New(rand.NewPCG(x.Seed, x.Seed)), epoch: time.Unix(1_000_000, 0),
		names: make(map[string]*engine), requests: make(map[marigoldcroft.StreamID]*request),
	}
	if err := r.build(); err != nil {
		return nil, err
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		if r.now = next.at; r.now > x.Length+time.Minute {
			break
		}
		next.do()
	}
	for i := range r.results {
		r.results[i].summarise()
	}
	return r.results, nil
}

// build creates the engines and the schedulers and schedules the first events.
func (r *run) build() error {
	var listed []marigoldcroft.Endpoint
	for i := range r.Engines {
		e := &engine{figures: r.Figures, pace: max(1, r.Slow[i])}
		name := fmt.Sprintf("engine-%02d", i)
		r.engines = append(r.engines, e)
		r.names[name] = e
		listed = append(listed, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: name, Kind: marigoldcroft.EndpointEngine, Pool: pool, Slots: r.Figures.Slots, Figures: r.Figures,
		}))
	}
	for i := range r.Instances {
		tuning := mcscheduler.Default()
		tuning.Seed = r.Seed + uint64(i)
		tuning.PrefillTokensPerSecond, tuning.ShortLimit = r.Figures.PrefillTokensPerSecond, 200*time.Millisecond
		s, err := mcscheduler.New(r.Policy, tuning)
		if err != nil {
			return err
		}
		s.SetEndpoints(r.epoch, listed)
		r.schedulers = append(r.schedulers, s)
		r.after(pollInterval, func() { r.poll(i) })
		if r.Lag > 0 {
			r.after(time.Duration(i)*r.Lag/time.Duration(r.Instances), func() { r.exchange(i) })
		}
	}
	for i, c := range r.Classes {
		r.results = append(r.results, Result{Class: c.Name})
		r.arriveNext(i)
	}
	return nil
}

// after schedules an action to run after a simulated delay.
func (r *run) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, event{at: r.now + d, order: r.order, do: do})
}

func (r *run) time() time.Time { return r.epoch.Add(r.now) }

// arriveNext schedules the next arrival of a class. It draws candidate arrivals from a
// Poisson process of peak requests per second, the highest rate that an experiment file
// allows, and keeps as many of them as the current rate requires (thinning).
func (r *run) arriveNext(class int) {
	const peak = 500.0
	c := r.Classes[class]
	wait := time.Duration(r.random.ExpFloat64() / peak * float64(time.Second))
	r.after(wait, func() {
		if r.now >= r.Length {
			return
		}
		if r.random.Float64() < c.PerSecond(r.now)/peak {
			r.arrive(class)
		}
		r.arriveNext(class)
	})
}

// size draws a token count from a log-normal distribution with the given mean and capped
// at most; a cap of 0 means no cap.
func (r *run) size(mean, spread, most float64) int64 {
	n := mean * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
	if most > 0 {
		n = math.Min(n, most)
	}
	return int64(math.Max(1, n))
}

// arrive creates a request and submits it to the scheduler of a random instance. Work that
// is still unfinished at its deadline is cancelled.
func (r *run) arrive(class int) {
	c := r.Classes[class]
	r.counter++
	q := &request{
		id: marigoldcroft.NewStreamID(fmt.Sprintf("r%d", r.counter), 1), class: class, instance: r.random.IntN(r.Instances),
		arrived: r.now, shortest: math.MaxInt64, prompt: r.size(c.Prompt, c.Spread, c.MaxPrompt), output: r.size(c.Output, c.Spread, 3*c.Output),
	}
	r.requests[q.id] = q
	r.results[class].Asked++
	r.results[class].owed += r.worth(q)
	decision := r.schedulers[q.instance].Submit(r.time(), marigoldcroft.Work{
		ID: q.id, Model: pool, Deadline: r.time().Add(c.Deadline), Objective: r.time().Add(c.Objective),
		PromptTokens: q.prompt, OutputTokens: q.output,
	})
	r.act(decision)
	r.after(c.Deadline, func() {
		if r.requests[q.id] != nil {
			r.end(q, false)
		}
	})
}

// act executes a scheduling decision. Decisions for requests that have ended are ignored.
func (r *run) act(d marigoldcroft.Decision) {
	q := r.requests[d.ID]
	if q == nil {
		return
	}
	switch d.Action {
	case marigoldcroft.ActionRefuse, marigoldcroft.ActionExpire:
		r.results[q.class].Refused++
		delete(r.requests, q.id)
	case marigoldcroft.ActionDispatch:
		q.engine = r.names[d.Endpoint]
		for _, name := range d.Helpers {
			q.helpers = append(q.helpers, r.names[name])
		}
		r.after(networkDelay, func() { r.start(q) })
	}
}

// start splits the prompt into equal parts and assigns them to the request's engine and its
// helpers. The part for the request's own engine is added when the request gets a slot.
func (r *run) start(q *request) {
	share := float64(len(q.helpers) + 1)
	cost := readSeconds(&r.Figures, q.prompt) / float64(q.prompt)
	piece := func() *part {
		return &part{request: q, tokens: float64(q.prompt) / share, cost: cost}
	}
	q.own, q.unread = piece(), len(q.helpers)+1
	q.engine.queued = append(q.engine.queued, q)
	r.work(q.engine)
	for _, helper := range q.helpers {
		helper.parts = append(helper.parts, piece())
		r.work(helper)
	}
}

// work starts the next forward pass of an engine, unless a pass is running or the engine is
// idle.
func (r *run) work(e *engine) {
	if e.busy {
		return
	}
	length, read, wrote := e.pass()
	if length == 0 {
		return
	}
	e.busy = true
	r.after(length, func() {
		e.busy = false
		for _, q := range wrote {
			r.wrote(q)
		}
		for _, q := range read {
			r.firstToken(q)
		}
		r.work(e)
	})
}

// firstToken ends the prefill of a request and makes it decode in the following passes.
func (r *run) firstToken(q *request) {
	if q.gone || r.requests[q.id] == nil {
		return
	}
	q.writing, q.firstAt, q.lastAt = true, r.now, r.now
	r.schedulers[q.instance].FirstToken(r.time(), q.id)
	r.work(q.engine)
}

// wrote delivers one stream event, which carries the tokens of one pass, and ends the
// request after its last token.
func (r *run) wrote(q *request) {
	if q.gone {
		return
	}
	pause := r.now - q.lastAt
	q.worstPause = max(q.worstPause, pause)
	q.lastAt = r.now
	if q.events++; q.events > 1 {
		q.shortest = min(q.shortest, pause)
	}
	if q.events%progressEvents == 0 {
		r.schedulers[q.instance].Progress(r.time(), q.id, q.shortest)
	}
	if q.events*max(1, r.Figures.Stride) >= int(q.output) {
		r.end(q, true)
	}
}

// end removes a request from its engine, reports its completion to the scheduler and counts
// it if it was served whole.
func (r *run) end(q *request, whole bool) {
	delete(r.requests, q.id)
	completion := marigoldcroft.Completion{Succeeded: whole, PromptTokens: q.prompt, OutputTokens: q.output, Total: r.now - q.arrived}
	if q.engine != nil {
		q.engine.drop(q)
		completion.FirstToken = q.firstAt - q.arrived
	}
	r.schedulers[q.instance].Finish(r.time(), q.id, completion)
	if !whole {
		return
	}
	result, c := &r.results[q.class], r.Classes[q.class]
	result.Served++
	result.earned += lateWorth * r.worth(q)
	result.firsts = append(result.firsts, q.firstAt-q.arrived)
	switch {
	case q.worstPause > c.MaxPause:
		result.Paused++
	case q.firstAt-q.arrived <= c.Objective:
		result.OnTime++
		result.earned += (1 - lateWorth) * r.worth(q)
	}
}

// worth returns the value of a whole answer on time, which depends on the prompt's size.
func (r *run) worth(q *request) float64 {
	return min(maxWorth, leastWorth+(1-leastWorth)*float64(q.prompt)/r.Classes[q.class].Prompt)
}

// poll polls the scheduler of one instance for decisions on waiting work and executes them.
func (r *run) poll(instance int) {
	for _, d := range r.schedulers[instance].Poll(r.time(), nil) {
		r.act(d)
	}
	if r.now < r.Length || len(r.requests) > 0 {
		r.after(pollInterval, func() { r.poll(instance) })
	}
}

// exchange reports the in-flight work of one instance to the schedulers of all others.
func (r *run) exchange(instance int) {
	work := r.schedulers[instance].InFlight()
	name := fmt.Sprintf("instance-%d", instance)
	for i, s := range r.schedulers {
		if i == instance {
			continue
		}
		for endpoint := range r.names {
			s.ObservePeer(r.time(), name, endpoint, work[endpoint])
		}
	}
	if r.now < r.Length || len(r.requests) > 0 {
		r.after(r.Lag, func() { r.exchange(instance) })
	}
}

// summarise computes the percentiles of the time to first token.
func (r *Result) summarise() {
	if len(r.firsts) == 0 {
		return
	}
	slices.Sort(r.firsts)
	r.FirstP50 = r.firsts[len(r.firsts)/2]
	r.FirstP95 = r.firsts[len(r.firsts)*95/100]
}

// OnTimeShare returns the share of all requests that met their objective and MaxPause; it
// is 1 if there were none.
func (r Result) OnTimeShare() float64 {
	if r.Asked == 0 {
		return 1
	}
	return float64(r.OnTime) / float64(r.Asked)
}

// EarnedShare returns the share of the value of all requests that was earned by served
// ones; it is 1 if there were none.
func (r Result) EarnedShare() float64 {
	if r.owed == 0 {
		return 1
	}
	return r.earned / r.owed
}
