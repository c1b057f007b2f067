package mcscheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

const (
	propertyEndpoints = 5
	propertyCapacity  = 100_000
)

// attempt is the test's record of one submitted id.
type attempt struct {
	work       marigoldcroft.Work
	endpoint   string // "" while queued
	lost       bool   // the endpoint went away
	firstToken bool
}

// schedulerModel drives a scheduler with random calls and checks each decision against
// a simple record of what is queued and what runs where.
type schedulerModel struct {
	s               marigoldcroft.Scheduler
	now             time.Time
	next            int
	attempts        map[marigoldcroft.StreamID]*attempt
	listed          map[string]bool // the value is true for a leaving endpoint
	down            map[string]bool
	reportedLeaving map[string]bool // by the endpoint's own report
	capacity        map[string]int64
	region          map[string]string
	stopping        bool
}

func newSchedulerModel(t *rapid.T) *schedulerModel {
	settings := mcscheduler.Default()
	settings.Seed = rapid.Uint64().Draw(t, "seed")
	settings.KVCapacityTokens = propertyCapacity
	settings.QueueLength = 20
	s, err := mcscheduler.New(rapid.SampledFrom(policies).Draw(t, "policy"), settings)
	require.NoError(t, err)
	m := &schedulerModel{
		s: s, now: epoch, attempts: map[marigoldcroft.StreamID]*attempt{}, listed: map[string]bool{},
		down: map[string]bool{}, reportedLeaving: map[string]bool{}, capacity: map[string]int64{},
	}
	m.setEndpoints(propertyEngines(nil))
	return m
}

// propertyEngines returns the engines of the property test. The regions of some may be replaced.
func propertyEngines(replaced map[string]string) []marigoldcroft.Endpoint {
	var list []marigoldcroft.Endpoint
	for i, region := range []string{"a", "a", "b", "b", ""} {
		name := fmt.Sprintf("e%d", i)
		if other, ok := replaced[name]; ok {
			region = other
		}
		list = append(list, marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
			Name: name, Kind: marigoldcroft.EndpointEngine, Pool: model, Region: region,
		}))
	}
	return list
}

func (m *schedulerModel) setEndpoints(list []marigoldcroft.Endpoint) {
	listed := map[string]bool{}
	m.region = map[string]string{}
	for _, e := range list {
		m.region[e.Name()] = e.Region()
		listed[e.Name()] = e.Leaving()
		if _, known := m.listed[e.Name()]; !known {
			m.capacity[e.Name()] = propertyCapacity
			delete(m.down, e.Name())
			delete(m.reportedLeaving, e.Name())
		}
	}
	m.listed = listed
	m.markLost(func(name string) bool { _, ok := listed[name]; return !ok })
	m.s.SetEndpoints(m.now, list)
}

// markLost records that the attempts on the matching endpoints hold no resources any
// more.
func (m *schedulerModel) markLost(gone func(name string) bool) {
	for _, a := range m.attempts {
		if a.endpoint != "" && gone(a.endpoint) {
			a.lost = true
		}
	}
}

// apply checks one decision and updates the record.
func (m *schedulerModel) apply(t *rapid.T, d marigoldcroft.Decision) {
	a := m.attempts[d.ID]
	require.NotNil(t, a, "decision about an id that is not held: %+v", d)
	switch d.Action {
	case marigoldcroft.ActionDispatch:
		require.Empty(t, a.endpoint, "dispatched twice: %+v", d)
		leaving, ok := m.listed[d.Endpoint]
		require.True(t, ok && !leaving && !m.down[d.Endpoint] && !m.reportedLeaving[d.Endpoint], "dispatched to an unusable endpoint: %+v", d)
		require.NotContains(t, a.work.Exclude, d.Endpoint)
		if a.work.Regions != nil {
			require.Contains(t, a.work.Regions, m.region[d.Endpoint], "dispatched outside its home regions: %+v", d)
		}
		a.endpoint = d.Endpoint
		require.LessOrEqual(t, m.reserved()[d.Endpoint], m.capacity[d.Endpoint], "reserved beyond the endpoint's capacity: %+v", d)
	case marigoldcroft.ActionRecall:
		require.True(t, a.endpoint != "" && !a.firstToken && !a.lost, "recalled while not dispatched, after its first token or after the loss of its endpoint: %+v", d)
		a.endpoint = ""
	case marigoldcroft.ActionExpire:
		require.Empty(t, a.endpoint, "expired while dispatched: %+v", d)
		delete(m.attempts, d.ID)
	default:
		t.Fatalf("unexpected decision %+v", d)
	}
}

// reserved returns the reserved KV tokens by endpoint, according to the record.
func (m *schedulerModel) reserved() map[string]int64 {
	kv := map[string]int64{}
	for _, a := range m.attempts {
		if a.endpoint != "" && !a.lost {
			kv[a.endpoint] += a.work.PromptTokens + a.work.OutputTokens
		}
	}
	return kv
}

func (m *schedulerModel) submit(t *rapid.T) {
	m.next++
	w := work(m.next, rapid.Int64Range(0, 60_000).Draw(t, "prompt"), rapid.Int64Range(0, 50_000).Draw(t, "output"))
	w.Urgency = marigoldcroft.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency"))
	w.Team = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	w.Deadline = m.now.Add(time.Duration(rapid.IntRange(-1, 120).Draw(t, "deadline")) * time.Second)
	w.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
	w.IsolateSuspect = rapid.IntRange(0, 9).Draw(t, "alone") == 0
	if rapid.IntRange(0, 4).Draw(t, "exclude") == 0 {
		w.Exclude = []string{fmt.Sprintf("e%d", rapid.IntRange(0, propertyEndpoints-1).Draw(t, "excluded"))}
	}
	w.Regions = rapid.SampledFrom([][]string{nil, nil, nil, {"a"}, {"b"}, {"b", "a"}, {"c"}, {}}).Draw(t, "regions")
	m.submitAndCheck(t, w)
}

// burst submits long requests and then short ones that fill the memory, which makes the
// scheduler lend endpoints and recall the lent work.
func (m *schedulerModel) burst(t *rapid.T) {
	for n := range rapid.IntRange(0, 20).Draw(t, "burst") {
		m.next++
		w := work(m.next, 40_000, 100)
		if n > 2 {
			w = work(m.next, 100, 40_000)
		}
		w.Urgency, w.Deadline = marigoldcroft.UrgencyNormal, m.now.Add(time.Hour)
		w.Regions = rapid.SampledFrom([][]string{nil, nil, {"a"}, {"b"}}).Draw(t, "regions")
		m.submitAndCheck(t, w)
	}
}

// submitAndCheck submits the work and checks the decision.
func (m *schedulerModel) submitAndCheck(t *rapid.T, w marigoldcroft.Work) {
	explained := m.s.Explain(m.now, w)
	d := m.s.Submit(m.now, w)
	require.Equal(t, explained, d, "Explain differs from Submit")
	if d.Action == marigoldcroft.ActionRefuse {
		return
	}
	m.attempts[w.ID] = &attempt{work: w}
	if d.Action == marigoldcroft.ActionDispatch {
		m.apply(t, d)
	}
	again := m.s.Submit(m.now, w)
	require.Equal(t, marigoldcroft.ActionWait, again.Action, "a held id was accepted twice")
}

func (m *schedulerModel) poll(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 5, 200, 3000, 40_000}).Draw(t, "ms")) * time.Millisecond)
	for _, d := range m.s.Poll(m.now, nil) {
		m.apply(t, d)
	}
	for _, a := range m.attempts {
		require.True(t, a.endpoint != "" || a.work.Deadline.After(m.now), "queued past its deadline: %+v", a.work)
	}
}

// drawID draws the id of a held attempt or an unknown one.
func (m *schedulerModel) drawID(t *rapid.T) marigoldcroft.StreamID {
	return id(rapid.IntRange(max(0, m.next-30), m.next+1).Draw(t, "id"))
}

func (m *schedulerModel) drawEndpoint(t *rapid.T) string {
	return fmt.Sprintf("e%d", rapid.IntRange(0, propertyEndpoints).Draw(t, "endpoint"))
}

func (m *schedulerModel) finish(t *rapid.T) {
	which := m.drawID(t)
	m.s.Finish(m.now, which, marigoldcroft.Completion{
		Succeeded: rapid.Bool().Draw(t, "succeeded"), PromptTokens: 5000, OutputTokens: 50,
		CachedTokens: rapid.Int64Range(0, 6000).Draw(t, "cached"),
		FirstToken:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "first")) * time.Millisecond, Total: 3 * time.Second,
	})
	delete(m.attempts, which)
}

func (m *schedulerModel) observe(t *rapid.T) {
	r := marigoldcroft.LoadReport{
		Endpoint: m.drawEndpoint(t), Incarnation: 1, Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
		KVCapacityTokens: rapid.SampledFrom([]int64{0, 60_000, propertyCapacity, 150_000}).Draw(t, "capacity"),
		KVUsedTokens:     rapid.Int64Range(0, 80_000).Draw(t, "used"),
		PrefillTokens:    rapid.Int64Range(0, 200_000).Draw(t, "prefill"),
	}
	m.report(r)
}

func (m *schedulerModel) report(r marigoldcroft.LoadReport) {
	m.now = m.now.Add(time.Millisecond)
	m.s.ObserveReport(m.now, r)
	if _, ok := m.listed[r.Endpoint]; !ok {
		return
	}
	delete(m.down, r.Endpoint)
	m.reportedLeaving[r.Endpoint] = r.Leaving
	if r.KVCapacityTokens > 0 {
		m.capacity[r.Endpoint] = r.KVCapacityTokens
	}
}

func (m *schedulerModel) observePeer(t *rapid.T) {
	m.s.ObservePeer(m.now, rapid.SampledFrom([]string{"p", "q"}).Draw(t, "peer"), m.drawEndpoint(t), marigoldcroft.InFlight{
		Short: rapid.IntRange(0, 2).Draw(t, "short"), Long: rapid.IntRange(0, 1).Draw(t, "long"),
		PrefillTokens: rapid.Int64Range(0, 50_000).Draw(t, "prefill"), KVTokens: rapid.Int64Range(0, 50_000).Draw(t, "kv"),
	})
}

func (m *schedulerModel) endpointDown(t *rapid.T) {
	name := m.drawEndpoint(t)
	if _, ok := m.listed[name]; ok {
		m.down[name] = true
	}
	m.markLost(func(n string) bool { return n == name })
	m.s.EndpointDown(m.now, name)
}

func (m *schedulerModel) changeEndpoints(t *rapid.T) {
	replaced := map[string]string{}
	if rapid.IntRange(0, 3).Draw(t, "move") == 0 {
		replaced[m.drawEndpoint(t)] = rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "region")
	}
	var list []marigoldcroft.Endpoint
	for _, e := range propertyEngines(replaced) {
		switch rapid.IntRange(0, 5).Draw(t, e.Name()) {
		case 0:
		case 1:
			list = append(list, e.WithLeaving(true))
		default:
			list = append(list, e)
		}
	}
	m.setEndpoints(list)
}

// check compares the state that the scheduler exposes with the record.
func (m *schedulerModel) check(t *rapid.T) {
	queued := 0
	for _, a := range m.attempts {
		if a.endpoint == "" {
			queued++
		}
	}
	require.Equal(t, queued, m.s.Queued())
	want, inFlight := m.reserved(), m.s.InFlight()
	for name, load := range inFlight {
		require.Equal(t, want[name], load.KVTokens, name)
		require.GreaterOrEqual(t, load.PrefillTokens, int64(0))
	}
	for name, kv := range want {
		require.Equal(t, kv, inFlight[name].KVTokens, name)
	}
}

// stop begins a planned stop, or moves its limit.
func (m *schedulerModel) stop(t *rapid.T) {
	m.stopping = true
	m.s.StopBy(m.now, m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "stopSeconds"))*time.Second))
}

// quiesce makes every endpoint idle and usable, and finishes all work. Queued work must
// then run, and no resources may stay reserved.
func (m *schedulerModel) quiesce(t *rapid.T) {
	reasons := []marigoldcroft.Reason{marigoldcroft.ReasonDeadline}
	if m.stopping {
		reasons = append(reasons, marigoldcroft.ReasonStopping)
		m.s.StopBy(m.now, m.now.Add(1000*time.Hour))
	}
	m.setEndpoints(propertyEngines(nil))
	for _, e := range propertyEngines(nil) {
		for _, peer := range []string{"p", "q"} {
			m.s.ObservePeer(m.now, peer, e.Name(), marigoldcroft.InFlight{})
		}
		m.report(marigoldcroft.LoadReport{Endpoint: e.Name(), Incarnation: 1, KVCapacityTokens: 150_000})
	}
	for round := 0; len(m.attempts) > 0; round++ {
		require.Less(t, round, 200, "%d requests are queued although every endpoint is idle", m.s.Queued())
		for which, a := range m.attempts {
			if a.endpoint != "" {
				m.s.Finish(m.now, which, marigoldcroft.Completion{})
				delete(m.attempts, which)
			}
		}
		m.now = m.now.Add(10 * time.Millisecond)
		for _, d := range m.s.Poll(m.now, nil) {
			// No engine is in region c now, so that work which may run only there ends.
			a := m.attempts[d.ID]
			if m.apply(t, d); d.Action == marigoldcroft.ActionExpire && !(d.Reason == marigoldcroft.ReasonRegion && slices.Equal(a.work.Regions, []string{"c"})) {
				require.Contains(t, reasons, d.Reason)
			}
		}
	}
	require.Empty(t, m.s.InFlight())
	// Each endpoint must accept work that needs all of its memory, one at a time. After
	// 10 s without first tokens, learned lateness must not refuse any work.
	m.now = m.now.Add(10 * time.Second)
	for range propertyEndpoints {
		m.next++
		w := work(m.next, 1000, 149_000)
		w.Deadline = m.now.Add(24 * time.Hour)
		d := m.s.Submit(m.now, w)
		require.Equal(t, marigoldcroft.ActionDispatch, d.Action, "memory is still reserved: %+v", d)
	}
}

// After any sequence of calls, no work has been dispatched twice, lost, left in the queue
// for good or sent to an endpoint that must not get any, be it outside the home regions of the work. Memory is never reserved beyond
// the capacity and is always released, and no work is queued past its deadline.
func TestAnySequenceKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedulerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit2": m.submit, "burst": m.burst, "poll": m.poll, "finish": m.finish,
			"firstToken": func(t *rapid.T) {
				which := m.drawID(t)
				m.s.FirstToken(m.now, which)
				if a := m.attempts[which]; a != nil && a.endpoint != "" {
					a.firstToken = true
				}
			},
			"observe": m.observe, "observePeer": m.observePeer, "down": m.endpointDown, "change": m.changeEndpoints, "stop": m.stop,
			"": m.check,
		})
		m.quiesce(t)
	})
}
