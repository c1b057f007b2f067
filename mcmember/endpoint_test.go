package mcmember_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
)

// fakeEndpoints answers polls of all endpoints with a function that the test sets.
type fakeEndpoints struct {
	mu sync.Mutex
	// answer is called for each poll; if it is nil, the answer is an idle report.
	answer func(caller, endpoint string) (marigoldcroft.LoadReport, error)
	// polls counts polls by endpoint and member.
	polls map[string]map[string]int
}

// memberLoader is the Loader of one member.
type memberLoader struct {
	*fakeEndpoints
	name string
}

func (c memberLoader) Load(_ context.Context, e marigoldcroft.Endpoint) (marigoldcroft.LoadReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.polls[e.Name()] == nil {
		c.polls[e.Name()] = make(map[string]int)
	}
	c.polls[e.Name()][c.name]++
	if c.answer != nil {
		return c.answer(c.name, e.Name())
	}
	return report(1, false), nil
}

func (b *fakeEndpoints) setAnswer(answer func(caller, endpoint string) (marigoldcroft.LoadReport, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = answer
}

// pollCounts returns how often each member has polled the endpoint.
func (b *fakeEndpoints) pollCounts(endpoint string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.polls[endpoint])
}

// resetPolls clears the poll counts.
func (b *fakeEndpoints) resetPolls() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.polls = make(map[string]map[string]int)
}

func report(incarnation uint64, leaving bool) marigoldcroft.LoadReport {
	return marigoldcroft.LoadReport{Incarnation: incarnation, Time: time.Now(), Leaving: leaving, KVCapacityTokens: 1 << 20}
}

// newPolledFleet starts members that poll three endpoints.
func newPolledFleet(t *testing.T, members int) (*fleet, *fakeEndpoints) {
	f, b := newFleet(t, members, centreA), &fakeEndpoints{}
	b.resetPolls()
	for i := range 3 {
		f.list.answer.Endpoints = append(f.list.answer.Endpoints, marigoldcroft.ListedEndpoint{
			Name: fmt.Sprint("e", i), DataCentre: centreA, Address: "http://e", Kind: marigoldcroft.EndpointEngine,
		})
	}
	f.startAll(func(m *mcmember.Member) { m.Loader = memberLoader{b, m.Self.PeerAddress} })
	return f, b
}

// If members miss a change of an endpoint, they send requests to one that is down or leaving,
// or avoid one that is usable. Each case makes one change and checks what all members see.
func TestEndpointStates(t *testing.T) {
	const endpoint = "e1"
	refused := func(_, name string) (marigoldcroft.LoadReport, error) {
		if name == endpoint {
			return marigoldcroft.LoadReport{}, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
		}
		return report(1, false), nil
	}
	failing := func(string, string) (marigoldcroft.LoadReport, error) {
		return marigoldcroft.LoadReport{}, errors.New("timeout")
	}
	leaving := func(_, name string) (marigoldcroft.LoadReport, error) { return report(1, name == endpoint), nil }
	cases := map[string]struct {
		// act makes the change; within is the time after which all members must know the
		// result.
		act           func(f *fleet, b *fakeEndpoints)
		within        time.Duration
		down, leaving bool
	}{
		"the connection is refused": {
			act: func(_ *fleet, b *fakeEndpoints) { b.setAnswer(refused) },
			// Shorter than the 2 s that three failed polls would take.
			within: 1800 * time.Millisecond, down: true,
		},
		"two polls fail": {
			act: func(f *fleet, b *fakeEndpoints) {
				b.resetPolls()
				b.setAnswer(func(caller, name string) (marigoldcroft.LoadReport, error) {
					if b.polls[name][caller] <= 2 {
						return failing(caller, name)
					}
					return report(1, false), nil
				})
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					v, _ := f.members[instanceName(centreA, 0)].Endpoint(endpoint)
					require.False(f.t, v.Down)
				}
			},
			within: time.Second,
		},
		"three polls fail": {
			act:    func(_ *fleet, b *fakeEndpoints) { b.setAnswer(failing) },
			within: 6 * time.Second, down: true,
		},
		"it answers again": {
			act: func(_ *fleet, b *fakeEndpoints) {
				b.setAnswer(refused)
				time.Sleep(5 * time.Second)
				b.setAnswer(nil)
			},
			within: 3 * time.Second,
		},
		"one poller cannot reach it": {
			act: func(f *fleet, b *fakeEndpoints) {
				first := ""
				b.setAnswer(func(caller, name string) (marigoldcroft.LoadReport, error) {
					if first == "" && name == endpoint {
						first = caller
					}
					if caller == first {
						return failing(caller, name)
					}
					return report(1, false), nil
				})
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					v, _ := f.members[instanceName(centreA, 0)].Endpoint(endpoint)
					require.False(f.t, v.Down)
				}
			},
			within: time.Second,
		},
		"it reports that it leaves": {
			act:    func(_ *fleet, b *fakeEndpoints) { b.setAnswer(leaving) },
			within: 3 * time.Second, leaving: true,
		},
		"it reports that it no longer leaves": {
			act: func(_ *fleet, b *fakeEndpoints) {
				b.setAnswer(leaving)
				time.Sleep(5 * time.Second)
				b.setAnswer(nil)
			},
			within: 4 * time.Second,
		},
		"it leaves and is restarted": {
			act: func(_ *fleet, b *fakeEndpoints) {
				b.setAnswer(leaving)
				time.Sleep(5 * time.Second)
				b.setAnswer(func(string, string) (marigoldcroft.LoadReport, error) { return report(2, false), nil })
			},
			within: 4 * time.Second,
		},
		"an operator marks it": {
			act:    func(f *fleet, _ *fakeEndpoints) { f.mark(0, endpoint, true) },
			within: 2 * time.Second, leaving: true,
		},
		"an operator's mark outlives a restart": {
			act: func(f *fleet, b *fakeEndpoints) {
				f.mark(0, endpoint, true)
				b.setAnswer(func(string, string) (marigoldcroft.LoadReport, error) { return report(2, false), nil })
			},
			within: 5 * time.Second, leaving: true,
		},
		"an operator clears the mark": {
			act: func(f *fleet, _ *fakeEndpoints) {
				f.mark(0, endpoint, true)
				time.Sleep(5 * time.Second)
				f.mark(3, endpoint, false)
			},
			within: 2 * time.Second,
		},
		"the list marks it": {
			act:    func(f *fleet, _ *fakeEndpoints) { f.list.change(listLeaving) },
			within: 8 * time.Second, leaving: true,
		},
		"the list still marks it after an operator has cleared the mark": {
			act: func(f *fleet, _ *fakeEndpoints) {
				f.list.change(listLeaving)
				time.Sleep(10 * time.Second)
				f.mark(0, endpoint, false)
			},
			within: 20 * time.Second,
		},
		"it is no longer listed but still answers": {
			act: func(f *fleet, _ *fakeEndpoints) {
				f.list.change(func(l *marigoldcroft.InstanceListing) { l.Endpoints = l.Endpoints[:1] })
			},
			within: 30 * time.Second,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, b := newPolledFleet(t, 5)
				c.act(f, b)
				time.Sleep(c.within)
				synctest.Wait()
				for name, m := range f.members {
					v, known := m.Endpoint(endpoint)
					require.True(t, known, name)
					require.Equal(t, c.down, v.Down, "down as seen by %s", name)
					require.Equal(t, c.leaving, v.Leaving, "leaving as seen by %s", name)
					require.Len(t, m.Endpoints(), 3)
				}
			})
		})
	}
}

func listLeaving(l *marigoldcroft.InstanceListing) {
	endpoints := append([]marigoldcroft.ListedEndpoint(nil), l.Endpoints...)
	endpoints[1].Leaving = true
	l.Endpoints = endpoints
}

// TestEachEndpointHasTwoPollers checks that polls do not multiply with the number of members,
// and that an endpoint whose two pollers have died gets two new ones.
func TestEachEndpointHasTwoPollers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, b := newPolledFleet(t, 6)
		check := func() {
			b.resetPolls()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			for _, endpoint := range []string{"e0", "e1", "e2"} {
				require.Len(t, b.pollCounts(endpoint), 2, endpoint)
			}
		}
		check()
		for caller := range b.pollCounts("e1") {
			f.kill(caller)
		}
		time.Sleep(10 * time.Second)
		check()
	})
}

// A member that does not poll an endpoint itself has only reports from peers, and these stop
// when its pollers get no answer. Confirm must then poll instead of returning the old report,
// once for all concurrent requests.
func TestConfirmPollsWhenTheReportIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, b := newPolledFleet(t, 5)
		timeout := func(string, string) (marigoldcroft.LoadReport, error) {
			return marigoldcroft.LoadReport{}, errors.New("timeout")
		}
		b.resetPolls()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		nonPoller := ""
		for i := range 5 {
			if name := instanceName(centreA, i); b.pollCounts("e1")[name] == 0 {
				nonPoller = name
			}
		}
		member := f.members[nonPoller]
		_, err := member.Confirm(t.Context(), "e1")
		require.NoError(t, err)
		require.Zero(t, b.pollCounts("e1")[nonPoller], "a fresh report must not cause a poll")

		b.setAnswer(timeout)
		time.Sleep(5 * time.Second)
		b.setAnswer(func(caller, name string) (marigoldcroft.LoadReport, error) {
			if caller == nonPoller && name == "e1" {
				return report(1, true), nil
			}
			return timeout(caller, name)
		})
		var wait sync.WaitGroup
		for range 10 {
			wait.Go(func() {
				v, err := member.Confirm(t.Context(), "e1")
				require.NoError(t, err)
				require.True(t, v.Leaving)
				require.False(t, v.Down)
			})
		}
		wait.Wait()
		require.Equal(t, 1, b.pollCounts("e1")[nonPoller])

		_, err = member.Confirm(t.Context(), "e0")
		require.Equal(t, mcmember.KindUnreachable, marigoldcroft.FailureKind[mcmember.Kind](err))
		_, err = member.Confirm(t.Context(), "unknown")
		require.Equal(t, mcmember.KindUnknownEndpoint, marigoldcroft.FailureKind[mcmember.Kind](err))
	})
}
