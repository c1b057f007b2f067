package mcscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

const (
	// coldPerSecond is what a cold engine of the repair co-operative takes, and coldTime how long it is
	// cold.
	coldPerSecond = 17
	coldTime      = 3 * time.Second
	// eventTime is the time between two events of its engines, and shortEvents the events of a short
	// question, whose first one is due within shortObjective.
	eventTime      = 50 * time.Millisecond
	shortEvents    = 36
	shortObjective = 250 * time.Millisecond
)

type (
	// coldLoad is short questions in simulated time, in milliseconds, on engines some of which are cold
	// at first.
	coldLoad struct {
		t         *testing.T
		engines   int
		scheduler marigoldcroft.Scheduler
		cold      map[string]bool
		// grantShare is the part of the limit that other instances leave.
		grantShare float64
		grants     map[string]float64
		freeAt     map[string]time.Duration
		begun      map[marigoldcroft.StreamID]time.Duration
		ends       map[time.Duration][]func()
		asked      map[string][]time.Duration
		running    map[string]int
		// asks and refusals count the requests for grants; waited counts the milliseconds in which
		// questions were queued although a warm engine had room.
		asks, refusals, waited, onCold, submitted, inTime, next int
	}
)

// newColdLoad returns n engines, the first cold of which are cold.
func newColdLoad(t *testing.T, n, cold int, grantShare float64) *coldLoad {
	t.Helper()
	s, err := mcscheduler.New(mcscheduler.PolicyPassModel, mcscheduler.Default())
	require.NoError(t, err)
	l := &coldLoad{
		t: t, engines: n, scheduler: s, cold: make(map[string]bool), grantShare: grantShare, grants: make(map[string]float64),
		freeAt: make(map[string]time.Duration), begun: make(map[marigoldcroft.StreamID]time.Duration),
		ends: make(map[time.Duration][]func()), asked: make(map[string][]time.Duration), running: make(map[string]int),
	}
	var list []marigoldcroft.Endpoint
	for i := range n {
		list = append(list, l.engine(i, i < cold, 154_000))
	}
	s.SetEndpoints(at(0), list)
	return l
}

// engine returns engine i, which is one of the repair co-operative but for its prefill rate.
func (l *coldLoad) engine(i int, cold bool, tokensPerSecond float64) marigoldcroft.Endpoint {
	spec := marigoldcroft.EndpointSpec{
		Name: fmt.Sprintf("e%d", i), Kind: marigoldcroft.EndpointEngine, Pool: "m", ColdRequestsPerSecond: coldPerSecond,
		Performance: marigoldcroft.EnginePerformance{
			Slots: 12, MemoryTokens: 344_250, StepTime: 1310 * time.Microsecond, PrefillTokensPerSecond: tokensPerSecond, ChunkTokens: 8192, StepsPerPass: 38,
		},
	}
	if cold {
		spec.ColdUntil, l.cold[spec.Name] = at(0).Add(coldTime), true
	}
	return marigoldcroft.NewEndpoint(spec)
}

func (l *coldLoad) work(now time.Duration, prompt, output int64, objective time.Duration) marigoldcroft.Work {
	l.next++
	return marigoldcroft.Work{
		ID: id(l.next), Model: "m", PromptTokens: prompt, OutputTokens: output,
		Objective: epoch.Add(now + objective), Deadline: epoch.Add(now + 10*time.Second),
	}
}

// run submits perSecond questions a second until the end of the cold time.
func (l *coldLoad) run(perSecond float64) {
	due := 0.0
	for now := time.Duration(0); now < coldTime; now += time.Millisecond {
		for _, end := range l.ends[now] {
			end()
		}
		delete(l.ends, now)
		for due += perSecond / 1000; due >= 1; due-- {
			w := l.work(now, 5000, shortEvents*38, shortObjective)
			l.begun[w.ID] = now
			l.submitted++
			l.handle(now, w.ID, l.scheduler.Submit(epoch.Add(now), w))
		}
		for _, d := range l.scheduler.Poll(epoch.Add(now), nil) {
			l.handle(now, d.ID, d)
		}
		if l.scheduler.Queued() > 0 && l.warmHasRoom(now) {
			l.waited++
		}
	}
}

// handle sends a question to the engine of the decision, if that has a grant.
func (l *coldLoad) handle(now time.Duration, id marigoldcroft.StreamID, d marigoldcroft.Decision) {
	if d.Action != marigoldcroft.ActionDispatch {
		return
	}
	if l.cold[d.Endpoint] && !l.ask(now, d.Endpoint) {
		l.scheduler.Finish(epoch.Add(now), id, marigoldcroft.Completion{NotSent: true})
		l.scheduler.PauseEndpoint(epoch.Add(now), d.Endpoint, epoch.Add(now+100*time.Millisecond))
		w := l.work(l.begun[id], 5000, shortEvents*38, shortObjective)
		l.begun[w.ID] = l.begun[id]
		l.handle(now, w.ID, l.scheduler.Submit(epoch.Add(now), w))
		return
	}
	if l.cold[d.Endpoint] {
		l.onCold++
	}
	l.running[d.Endpoint]++
	l.freeAt[d.Endpoint] = max(now, l.freeAt[d.Endpoint]) + 33*time.Millisecond
	first := l.freeAt[d.Endpoint] + eventTime
	if first-l.begun[id] <= shortObjective {
		l.inTime++
	}
	l.ends[first] = append(l.ends[first], func() { l.scheduler.FirstToken(epoch.Add(first), id) })
	end := first + (shortEvents-1)*eventTime
	l.ends[end] = append(l.ends[end], func() {
		l.running[d.Endpoint]--
		l.scheduler.Finish(epoch.Add(end), id, marigoldcroft.Completion{Succeeded: true})
	})
}

// warmHasRoom reports whether a warm engine has a slot that is not reserved for questions that can meet
// their objective, and would begin a question within the time for which questions are placed.
func (l *coldLoad) warmHasRoom(now time.Duration) bool {
	for i := range l.engines {
		if name := fmt.Sprintf("e%d", i); !l.cold[name] && l.running[name] < 12-2 && l.freeAt[name]-now < 200*time.Millisecond {
			return true
		}
	}
	return false
}

// ask asks the owner of the limit for a grant.
func (l *coldLoad) ask(now time.Duration, name string) bool {
	l.asks++
	rate := coldPerSecond * l.grantShare
	last := time.Duration(0)
	if n := len(l.asked[name]); n > 0 {
		last = l.asked[name][n-1]
	}
	l.asked[name] = append(l.asked[name], now)
	l.grants[name] = min(l.grants[name]+rate*(now-last).Seconds(), max(1, rate/4))
	if l.grants[name] < 1 {
		l.refusals++
		return false
	}
	l.grants[name]--
	return true
}

// mostAsked returns the largest number of requests for grants for one engine within a second.
func (l *coldLoad) mostAsked() int {
	most := 0
	for _, times := range l.asked {
		first := 0
		for i := range times {
			for times[i]-times[first] >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against short questions that ask for grants of cold engines although warm ones have room,
// against warm engines that are overloaded while cold ones could serve, and against more requests to a
// cold engine than its limit gives.
func TestColdEnginesTakeWhatWarmOnesCannot(t *testing.T) {
	for _, c := range []struct {
		name                string
		engines, cold       int
		perSecond, share    float64
		leastInTime         float64
		leastCold, mostCold int
		peers               int
	}{
		{name: "15 of 45, usual", engines: 45, cold: 15, perSecond: 53.5, share: 1, leastInTime: 0.99},
		{name: "15 of 45, peak", engines: 45, cold: 15, perSecond: 128, share: 1, leastInTime: 0.99, mostCold: 20},
		{name: "15 of 45, over the warm ones", engines: 45, cold: 15, perSecond: 280, share: 1, leastInTime: 0.85, leastCold: 150, mostCold: 15 * 12 * 2},
		{name: "15 of 45, over the warm ones, half of the grants", engines: 45, cold: 15, perSecond: 280, share: 0.5, leastInTime: 0.85, leastCold: 150, mostCold: 15 * 12 * 2},
		{name: "40 of 100, usual", engines: 100, cold: 40, perSecond: 88, share: 1, leastInTime: 0.99},
		{name: "40 of 100, over the warm ones", engines: 100, cold: 40, perSecond: 600, share: 1, leastInTime: 0.85, leastCold: 400, mostCold: 40 * 12 * 2},
		{name: "15 of 45, peers on the warm ones", engines: 45, cold: 15, perSecond: 20, share: 1, leastInTime: 0.99, peers: 9},
		{name: "all", engines: 45, cold: 45, perSecond: 128, share: 1, leastInTime: 0.8, leastCold: 350, mostCold: 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newColdLoad(t, c.engines, c.cold, c.share)
			for i := c.cold; i < c.engines && c.peers > 0; i++ {
				l.scheduler.ObservePeer(at(0), "peer", fmt.Sprintf("e%d", i), marigoldcroft.InFlight{Short: c.peers})
			}
			l.run(c.perSecond)
			inTime := float64(l.inTime) / float64(l.submitted)
			t.Logf("%d questions, %.3f in time, %d on cold engines, %d grants asked, %d refused, %d ms of waits beside room, most in a second %d",
				l.submitted, inTime, l.onCold, l.asks, l.refusals, l.waited, l.mostAsked())
			require.GreaterOrEqual(t, inTime, c.leastInTime)
			require.GreaterOrEqual(t, l.onCold, c.leastCold)
			require.LessOrEqual(t, l.onCold, c.mostCold)
			require.LessOrEqual(t, l.mostAsked(), coldPerSecond+coldPerSecond/4+1, "no more grants asked for than the limit gives")
			require.Zero(t, l.waited, "questions wait although a warm engine has room")
		})
	}
}

// Guards against long prompts that wait for warm engines, and against cold engines that prefill parts
// of prompts of others, for which nobody asks a grant.
func TestColdEngineDecodesLongPromptsButDoesNotHelp(t *testing.T) {
	l := newColdLoad(t, 6, 3, 1)
	onCold := 0
	for n := range 6 {
		now := time.Duration(n) * 400 * time.Millisecond
		w := l.work(now, 45_000, 21*38, 1500*time.Millisecond)
		d := l.scheduler.Submit(epoch.Add(now), w)
		require.Equal(t, marigoldcroft.ActionDispatch, d.Action)
		for _, helper := range d.Helpers {
			require.False(t, l.cold[helper], "%s helps", helper)
		}
		if l.cold[d.Endpoint] {
			onCold++
		}
	}
	require.Positive(t, onCold)
	for cold := range 2 {
		l = newColdLoad(t, 2, 0, 1)
		list := []marigoldcroft.Endpoint{l.engine(0, cold == 0, 2e6), l.engine(1, cold == 1, 2e6)}
		l.scheduler.SetEndpoints(at(0), list)
		d := l.scheduler.Submit(at(0), l.work(0, 400_000, 21*38, 900*time.Millisecond))
		require.Equal(t, marigoldcroft.ActionDispatch, d.Action, "a prompt that needs the memory of both, engine %d cold", cold)
		require.Equal(t, list[cold].Name(), d.Endpoint)
	}
	l = newColdLoad(t, 4, 4, 1)
	d := l.scheduler.Submit(at(0), l.work(0, 45_000, 21*38, 1500*time.Millisecond))
	require.Equal(t, marigoldcroft.ActionDispatch, d.Action, "all engines are cold")
	require.Empty(t, d.Helpers)
}

// Guards against a limit that outlives the cold phase, and one that is reset by each listing.
func TestColdLimitLastsAsLongAsThePhase(t *testing.T) {
	l := newColdLoad(t, 1, 1, 1)
	dispatch := func(now time.Duration) int {
		n := 0
		for l.scheduler.Submit(epoch.Add(now), l.work(now, 100, 100, time.Second)).Action == marigoldcroft.ActionDispatch {
			n++
		}
		return n
	}
	require.Equal(t, coldPerSecond/4, dispatch(0))
	endpoint := marigoldcroft.NewEndpoint(marigoldcroft.EndpointSpec{
		Name: "e0", Kind: marigoldcroft.EndpointEngine, Pool: "m", Slots: 12, ColdRequestsPerSecond: coldPerSecond, ColdUntil: at(0).Add(coldTime),
		Performance: marigoldcroft.EnginePerformance{Slots: 12, MemoryTokens: 344_250, StepTime: time.Millisecond, PrefillTokensPerSecond: 154_000, StepsPerPass: 38},
	})
	l.scheduler.SetEndpoints(at(0), []marigoldcroft.Endpoint{endpoint})
	require.Empty(t, l.scheduler.Poll(at(0), nil), "a listing gives no further places")
	require.Len(t, l.scheduler.Poll(epoch.Add(coldTime+time.Millisecond), nil), 1, "the one that waited")
	require.Equal(t, 7, dispatch(coldTime+time.Millisecond), "all slots")
}
