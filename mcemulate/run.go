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
	// pollInterval is the time between two polls of a scheduler with waiting work.
	pollInterval = 10 * time.Millisecond
	// progressEvents is the number of events after which a scheduler learns their pace.
	progressEvents = 5
	// networkDelay is that from an instance to an engine.
	networkDelay = time.Millisecond
	pool         = "pool"
	// leastWorth is what the smallest prompt is worth against the mean one, maxWorth bounds
	// that of the largest, and lateWorth is the part of it that a late answer is worth: the
	// terms of the users' sites.
	leastWorth = 0.3
	maxWorth   = 4.0
	lateWorth  = 0.25
)

type (
	// Class is one kind of request.
	Class struct {
		Name string
		// PerSecond returns the rate of arrivals at a time of the run.
		PerSecond func(at time.Duration) float64
		// Prompt and Output are mean tokens; Spread is the deviation of the logarithm of
		// both, and MaxPrompt bounds the prompt.
		Prompt, Output, MaxPrompt float64
		Spread                    float64
		Objective, MaxPause       time.Duration
		Deadline                  time.Duration
	}

	// Experiment is one run. Its fields are set before Run.
	Experiment struct {
		Policy    string
		Figures   marigoldcroft.EnginePerformance
		Engines   int
		Instances int
		// Lag is the age at which instances see each other's work.
		Lag     time.Duration
		Length  time.Duration
		Classes []Class
		Seed    uint64
		// Slow gives the pace of engines that are slower than published, by number.
		Slow map[int]float64
	}

	// Result is what became of one class.
	Result struct {
		Class string
		// Asked counts requests; OnTime those that met their objective and their pauses;
		// Served those that got a whole answer in time, on time or late; Refused those that
		// were refused; Paused those served with a longer pause than their class bears.
		Asked, OnTime, Served, Refused, Paused int
		// FirstP50 and FirstP95 are of served requests.
		FirstP50, FirstP95 time.Duration
		// owed sums the worth of the requests by their prompts, earned that of the served
		// ones, a part of it where they are late.
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
		// shortest is the shortest pause after the first.
		shortest time.Duration
	}

	// event is something that happens at a time of the run.
	event struct {
		at    time.Duration
		order uint64
		do    func()
	}

	events []event

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

// Push adds an event; heap.Push calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; heap.Pop calls it.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Run plays the experiment. Equal experiments give equal results.
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

func (r *run) build() error {
	var listed []marigoldcroft.Endpoint
	for i := range r.Engines {
		e := &engine{figures: r.Figures, pace: max(1, r.Slow[i])}
		name := fmt.Sprintf("engine-%02d", i)
		r.engines = append(r.engines, e)
		r.names[name] = e
		listed = append(listed, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: name, Kind: marigoldcroft.EndpointEngine, Pool: pool, Slots: r.Figures.Slots, Performance: r.Figures,
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

func (r *run) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, event{at: r.now + d, order: r.order, do: do})
}

func (r *run) time() time.Time { return r.epoch.Add(r.now) }

// arriveNext draws the next arrival of a class by thinning a faster Poisson process.
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

// sizes draws a logarithmic normal value around a mean.
func (r *run) size(mean, spread, most float64) int64 {
	n := mean * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
	if most > 0 {
		n = math.Min(n, most)
	}
	return int64(math.Max(1, n))
}

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

// act carries a decision out.
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

// start puts the request's parts on its engines.
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

// work runs the engine's next pass unless one runs.
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

func (r *run) firstToken(q *request) {
	if q.gone || r.requests[q.id] == nil {
		return
	}
	q.writing, q.firstAt, q.lastAt = true, r.now, r.now
	r.schedulers[q.instance].FirstToken(r.time(), q.id)
	r.work(q.engine)
}

// wrote delivers one event of the stream.
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
		r.schedulers[q.instance].ObservePassTime(r.time(), q.id, q.shortest)
	}
	if q.events*max(1, r.Figures.StepsPerPass) >= int(q.output) {
		r.end(q, true)
	}
}

// end takes the request off its engine and counts it.
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

// worth returns what a whole answer in time is worth, by the prompt's size.
func (r *run) worth(q *request) float64 {
	return min(maxWorth, leastWorth+(1-leastWorth)*float64(q.prompt)/r.Classes[q.class].Prompt)
}

func (r *run) poll(instance int) {
	for _, d := range r.schedulers[instance].Poll(r.time(), nil) {
		r.act(d)
	}
	if r.now < r.Length || len(r.requests) > 0 {
		r.after(pollInterval, func() { r.poll(instance) })
	}
}

// exchange tells all other instances of the work of one.
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

// summarise fills in the quantiles.
func (r *Result) summarise() {
	if len(r.firsts) == 0 {
		return
	}
	slices.Sort(r.firsts)
	r.FirstP50 = r.firsts[len(r.firsts)/2]
	r.FirstP95 = r.firsts[len(r.firsts)*95/100]
}

// OnTimeShare returns the share of all requests that were on time.
func (r Result) OnTimeShare() float64 {
	if r.Asked == 0 {
		return 1
	}
	return float64(r.OnTime) / float64(r.Asked)
}

// EarnedShare returns the part of the worth of all requests that was earned.
func (r Result) EarnedShare() float64 {
	if r.owed == 0 {
		return 1
	}
	return r.earned / r.owed
}
