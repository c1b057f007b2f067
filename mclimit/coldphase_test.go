package mclimit_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mclimit"
	"marigoldcroft/mcmember"
)

const (
	// coldPerSecond is what a cold engine of the repair co-operative takes. coldOverage and coldSlack
	// are the platform's bound on the requests that it gets beyond that in a second.
	coldPerSecond = 17
	coldOverage   = 1.5
	coldSlack     = 5
	// coldTime is longer than the 3 s of that deployment, so that a new owner grants requests in it.
	coldTime = 8 * time.Second
	// travelAtMost is the longest time from a grant to the arrival of the request.
	travelAtMost = 100 * time.Millisecond
)

// coldPhase returns the cold phase that the instance knows of.
func (in *limitInstance) coldPhase(string) marigoldcroft.ColdPhase {
	in.sim.mu.Lock()
	defer in.sim.mu.Unlock()
	return in.cold
}

// travel lets a request of the instance travel to the endpoint if that has cold phases.
func (in *limitInstance) travel(sentAt time.Time) {
	s := in.sim
	s.mu.Lock()
	if s.cold.PerSecond == 0 {
		s.mu.Unlock()
		return
	}
	knew, travel := in.cold.Limits(sentAt), s.delay(travelAtMost)
	s.mu.Unlock()
	time.Sleep(travel)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); knew && s.cold.Limits(now) {
		s.coldArrivals = append(s.coldArrivals, now)
	}
}

// becomeCold begins a cold phase, of which each process learns within a second.
func (s *limitSim) becomeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = marigoldcroft.ColdPhase{PerSecond: coldPerSecond, Until: time.Now().Add(coldTime)}
	phase := s.cold
	for _, in := range s.instances {
		if in != nil {
			time.AfterFunc(s.delay(time.Second), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				in.cold = phase
			})
		}
	}
}

// Guards against a cold endpoint that gets more requests in a second than the bound, summed over all
// instances: when it becomes cold under load, in a cut, and while instances and the owner of its
// limit restart.
func TestColdLimitHoldsForAllInstancesTogether(t *testing.T) {
	const second = time.Second
	events := map[string]limitEvent{
		"calm": func(context.Context, *limitSim, string, time.Duration) { time.Sleep(coldTime) },
		"cut": func(_ context.Context, s *limitSim, _ string, _ time.Duration) {
			time.Sleep(second)
			s.cut()
			time.Sleep(coldTime)
			s.becomeCold()
			time.Sleep(4 * second)
			s.heal()
			time.Sleep(coldTime)
		},
		"ownerRestarts": func(ctx context.Context, s *limitSim, owner string, interval time.Duration) {
			for range 2 {
				time.Sleep(second)
				s.kill(owner)
				time.Sleep(second)
				s.start(ctx, owner, interval, false)
				time.Sleep(coldTime - second)
				s.becomeCold()
			}
			time.Sleep(coldTime)
		},
		"instancesRestart": func(ctx context.Context, s *limitSim, owner string, interval time.Duration) {
			for i := range 4 {
				if name := instanceName(i); name != owner {
					s.kill(name)
					time.Sleep(second)
					s.start(ctx, name, interval, false)
				}
				time.Sleep(second)
			}
		},
	}
	for _, n := range []int{6, 82} {
		for name, event := range events {
			t.Run(fmt.Sprintf("%d/%s", n, name), func(t *testing.T) {
				for seed := range uint64(*limitSeeds) {
					synctest.Test(t, func(t *testing.T) { checkColdLimit(t, n, seed+1, event, name == "calm") })
				}
			})
		}
	}
}

func checkColdLimit(t *testing.T, n int, seed uint64, event limitEvent, used bool) {
	ctx, stop := context.WithCancel(t.Context())
	s := newLimitSim(n, 0, seed)
	s.limited = false
	// All instances together want four times what the endpoint takes.
	interval := time.Duration(float64(n) / (4 * coldPerSecond) * float64(time.Second))
	var names []string
	for i := range n {
		s.start(ctx, instanceName(i), interval, true)
		names = append(names, instanceName(i))
	}
	time.Sleep(5 * time.Second)
	s.becomeCold()
	event(ctx, s, mcmember.Home(limitedEndpoint, names), interval)
	stop()
	s.processes.Wait()
	most := mostIn(s.coldArrivals, time.Second)
	t.Logf("seed %d: %d requests while cold, at most %d in a second", seed, len(s.coldArrivals), most)
	require.LessOrEqual(t, float64(most), coldOverage*coldPerSecond+coldSlack, "seed %d", seed)
	if used {
		require.GreaterOrEqual(t, float64(len(s.coldArrivals)), coldPerSecond*coldTime.Seconds()/2, "half of the limit is used, seed %d", seed)
	}
}

// Guards against a limit that an endpoint states and that is ignored while it is cold, or the other way
// round, and against a cold limit that stays in force after the phase.
func TestSmallerLimitAppliesWhileCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ stated, cold, want float64 }{{2, 10, 2}, {10, 2, 2}, {10, 0, 10}} {
			s := newLimitSim(1, 0, 1)
			ctx, stop := context.WithCancel(t.Context())
			s.start(ctx, instanceName(0), time.Hour, true)
			in := s.instances[instanceName(0)]
			stop()
			s.processes.Wait()
			time.Sleep(4 * time.Second)
			now := time.Now()
			in.limiter.Observe(now, now, limitedEndpoint, true, c.stated)
			in.cold = marigoldcroft.ColdPhase{PerSecond: c.cold, Until: now.Add(10 * time.Second)}
			granted := func() int {
				n := 0
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					if ok, _ := in.limiter.Acquire(t.Context(), limitedEndpoint); ok {
						n++
					}
				}
				return n
			}
			require.InDelta(t, 10*c.want, granted(), c.want+1, "%+v", c)
			require.InDelta(t, 10*c.stated, granted(), c.stated+1, "%+v, after the phase", c)
		}
	})
}

// Guards against an instance that has not read an endpoint's record and sends to it without grants
// although the owner of the limit knows that it is cold, and against a phase that grows as instances
// with different clocks tell each other of it.
func TestPeersLearnOfColdPhaseFromTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 3
		ctx, stop := context.WithCancel(t.Context())
		s := newLimitSim(n, 0, 1)
		for i := range n {
			s.start(ctx, instanceName(i), time.Hour, true)
		}
		time.Sleep(5 * time.Second)
		stop()
		s.processes.Wait()
		owner := s.instances[mcmember.Home(limitedEndpoint, []string{instanceName(0), instanceName(1), instanceName(2)})]
		phase := marigoldcroft.ColdPhase{PerSecond: coldPerSecond, Until: time.Now().Add(coldTime)}
		var others []*limitInstance
		for _, in := range s.instances {
			if in != owner {
				others = append(others, in)
			}
		}
		others[0].cold = phase
		others[0].limiter.Acquire(t.Context(), limitedEndpoint)
		time.Sleep(learnAtMost)
		granted, begun := 0, time.Now()
		for range 200 {
			if ok, _ := others[1].limiter.Acquire(t.Context(), limitedEndpoint); ok {
				granted++
			}
			time.Sleep(5 * time.Millisecond)
		}
		require.InDelta(t, coldPerSecond*time.Since(begun).Seconds(), granted, coldSlack, "the limit applies")
		time.Sleep(time.Until(phase.Until) + 100*time.Millisecond)
		for range 100 {
			ok, _ := others[1].limiter.Acquire(t.Context(), limitedEndpoint)
			require.True(t, ok, "the phase has ended")
		}
	})
}

// Guards against requests that wait for an owner that has died, one after another for each cold
// endpoint whose limit it owns.
func TestSilentOwnerIsAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked, suspected := 0, false
		l := &mclimit.EndpointLimiter{
			Ownership: &mclimit.Ownership{Self: "self"}, Logger: zerolog.Nop(),
			Ask: func(ctx context.Context, _ string, _ marigoldcroft.EndpointLimit, _ marigoldcroft.ColdPhase) (mclimit.Grant, error) {
				asked++
				<-ctx.Done()
				return mclimit.Grant{}, ctx.Err()
			},
			Cold: func(string) marigoldcroft.ColdPhase {
				return marigoldcroft.ColdPhase{PerSecond: 1, Until: time.Now().Add(time.Hour)}
			},
			Silent: func(string) bool { return suspected },
		}
		l.Ownership.SetMembers(time.Now(), []string{"other"}, 0)
		begun := time.Now()
		for i := range 40 {
			granted, _ := l.Acquire(t.Context(), fmt.Sprintf("e%d", i))
			require.False(t, granted)
		}
		require.Equal(t, 1, asked)
		require.LessOrEqual(t, time.Since(begun), 125*time.Millisecond)
		time.Sleep(2 * time.Second)
		suspected = true
		l.Acquire(t.Context(), "e0")
		require.Equal(t, 1, asked)
		suspected = false
		l.Acquire(t.Context(), "e0")
		require.Equal(t, 2, asked, "the owner may be back")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		time.Sleep(2 * time.Second)
		l.Acquire(ctx, "e0")
		l.Acquire(t.Context(), "e0")
		require.Equal(t, 4, asked, "a caller that leaves says nothing about the owner")
	})
}

// Guards against an owner that grants all of a limit as soon as a cut has ended, while the owner on the
// other side still grants its part.
func TestShareGrowsOnceTheOtherOwnerHasLearned(t *testing.T) {
	o := &mclimit.Ownership{Self: "self"}
	begun := time.Now()
	share := func(after time.Duration) float64 {
		part, _ := o.Share(begun.Add(after), limitedEndpoint)
		return part
	}
	o.SetMembers(begun, []string{"self"}, 1)
	require.InDelta(t, 0.5, share(10*time.Second), 1e-9)
	o.SetMembers(begun.Add(10*time.Second), []string{"self"}, 0)
	require.InDelta(t, 0.5, share(12*time.Second), 1e-9)
	require.InDelta(t, 1, share(14*time.Second), 1e-9)
	o.SetMembers(begun.Add(15*time.Second), []string{"self"}, 3)
	require.InDelta(t, 0.25, share(15*time.Second), 1e-9, "a smaller part counts at once")
}
