package mcmember_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
)

// pausable blocks a member's exchange loop until its gate is closed, to simulate a paused
// process.
type pausable struct{ gate atomic.Pointer[chan struct{}] }

func (p *pausable) inFlight() map[string]marigoldcroft.InFlight {
	if gate := p.gate.Load(); gate != nil {
		<-*gate
	}
	return nil
}

// A process that was paused has received no heartbeats. When it resumes, it must not take all
// others for dead, and it must notice if they have removed it meanwhile.
func TestPausedProcess(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		// removed reports whether the others remove the member during the pause, which must
		// end its incarnation.
		removed bool
	}{
		"shorter than suspicion": {pause: 2100 * time.Millisecond},
		"until removal":          {pause: 20 * time.Second, removed: true},
		"for ten minutes":        {pause: 10 * time.Minute, removed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, centreA)
				p := &pausable{}
				paused := instanceName(centreA, 2)
				f.startAll(func(m *mcmember.Member) {
					if m.Self.PeerAddress == paused {
						m.InFlight = p.inFlight
					}
				})
				member, other := f.members[paused], f.members[instanceName(centreA, 4)]
				incarnation := member.Self.Identity.Incarnation()
				events := member.Subscribe(1000)
				gate := make(chan struct{})
				p.gate.Store(&gate)
				f.setDrop(func(from, to string, _ bool) bool { return from == paused || to == paused })
				time.Sleep(c.pause)
				require.Equal(t, c.removed, other.IncarnationGone(paused, incarnation))
				p.gate.Store(nil)
				close(gate)
				// The network comes back 2 s after the process has resumed.
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					for name, state := range states(member) {
						require.Equal(t, live, state, "%s was suspected or removed within 2 s after the pause", name)
					}
				}
				f.setDrop(nil)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for name, state := range states(member) {
						require.NotEqual(t, gone, state, "%s was removed by the resumed member", name)
					}
				}
				require.Equal(t, live, states(other)[paused])
				require.Equal(t, c.removed, other.IncarnationGone(paused, incarnation))
				kinds := make(map[mcmember.EventKind]int)
				for events.Len() > 0 {
					kinds[(<-events.Items()).Kind]++
				}
				require.Equal(t, c.removed, kinds[mcmember.EventSelfRemoved] == 1)
				require.Equal(t, 1, kinds[mcmember.EventResumed])
			})
		})
	}
}
