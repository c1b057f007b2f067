package mcmember_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

const (
	live    = mcmessage.MemberState_MEMBER_STATE_LIVE
	gone    = mcmessage.MemberState_MEMBER_STATE_GONE
	centreA = "lima"
	centreB = "cusco"
)

// A member that receives nothing sees all others as dead. It must report itself as isolated,
// and the others, which still receive its requests, must not remove it.
func TestMemberWithoutInboundTrafficIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, centreA)
		f.startAll(nil)
		isolated := instanceName(centreA, 3)
		require.False(t, f.members[isolated].Isolated())
		f.setDrop(func(_, to string, _ bool) bool { return to == isolated })
		time.Sleep(30 * time.Second)
		synctest.Wait()
		for name, m := range f.members {
			require.Equal(t, name == isolated, m.Isolated(), name)
			require.Equal(t, live, states(m)[isolated], "as seen by %s", name)
		}
		f.setDrop(nil)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		require.False(t, f.members[isolated].Isolated())
		require.Equal(t, live, states(f.members[isolated])[instanceName(centreA, 0)])
	})
}

// TestSuspicionAndRefutation injects one fault per case. Afterwards exactly the dead members
// must be removed; a live one that was removed during the fault must have returned.
func TestSuspicionAndRefutation(t *testing.T) {
	const members = 10
	cases := map[string]struct {
		// fault injects the fault and waits until its effect must be visible.
		fault func(f *fleet)
		// gone lists the members that the others must have removed afterwards.
		gone []int
	}{
		"one member dies": {
			fault: func(f *fleet) {
				f.kill(instanceName(centreA, 3))
				time.Sleep(15 * time.Second)
			},
			gone: []int{3},
		},
		"a rack is lost at once": {
			fault: func(f *fleet) {
				for i := range 4 {
					f.kill(instanceName(centreA, i))
				}
				time.Sleep(15 * time.Second)
			},
			gone: []int{0, 1, 2, 3},
		},
		"a member is unreachable for two intervals": {
			fault: func(f *fleet) {
				f.setDrop(func(from, to string, _ bool) bool {
					return from == instanceName(centreA, 3) || to == instanceName(centreA, 3)
				})
				time.Sleep(2 * time.Second)
				f.setDrop(nil)
				time.Sleep(10 * time.Second)
			},
		},
		"a member is unreachable until removal and returns": {
			fault: func(f *fleet) {
				f.setDrop(func(from, to string, _ bool) bool {
					return from == instanceName(centreA, 3) || to == instanceName(centreA, 3)
				})
				time.Sleep(30 * time.Second)
				require.Equal(f.t, gone, states(f.members[instanceName(centreA, 5)])[instanceName(centreA, 3)])
				f.setDrop(nil)
				time.Sleep(30 * time.Second)
			},
		},
		"nobody can call a member but it can call": {
			fault: func(f *fleet) {
				f.setDrop(func(_, to string, answer bool) bool { return to == instanceName(centreA, 3) && !answer })
				time.Sleep(60 * time.Second)
			},
		},
		"a member can call nobody but is called": {
			fault: func(f *fleet) {
				f.setDrop(func(from, _ string, answer bool) bool { return from == instanceName(centreA, 3) && !answer })
				time.Sleep(60 * time.Second)
			},
		},
		"one member's messages to another are lost": {
			fault: func(f *fleet) {
				f.setDrop(func(from, to string, _ bool) bool {
					return from == instanceName(centreA, 3) && to == instanceName(centreA, 4)
				})
				time.Sleep(60 * time.Second)
			},
		},
		"the instance list no longer contains a live member": {
			fault: func(f *fleet) {
				f.list.change(func(l *marigoldcroft.InstanceListing) { l.Instances = l.Instances[:3] })
				time.Sleep(60 * time.Second)
			},
		},
		"the instance list still contains a dead member": {
			fault: func(f *fleet) {
				f.kill(instanceName(centreA, 3))
				time.Sleep(60 * time.Second)
			},
			gone: []int{3},
		},
		"a member is restarted": {
			fault: func(f *fleet) {
				f.kill(instanceName(centreA, 3))
				time.Sleep(time.Second)
				f.start(instanceName(centreA, 3), nil)
				time.Sleep(15 * time.Second)
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, members, centreA)
				f.startAll(nil)
				c.fault(f)
				synctest.Wait()
				want := make(map[string]mcmessage.MemberState)
				for i := range members {
					want[instanceName(centreA, i)] = live
				}
				for _, i := range c.gone {
					want[instanceName(centreA, i)] = gone
				}
				for name, m := range f.members {
					require.Equal(t, want, states(m), "as seen by %s", name)
				}
				require.LessOrEqual(t, f.largest, mcmember.MaxMessageBytes)
			})
		})
	}
}
