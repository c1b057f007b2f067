package mcmember_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

// centreOf returns the data centre in an instance's name.
func centreOf(name string) string {
	centre, _, _ := strings.Cut(name, "-")
	return centre
}

// crossesCentres reports whether a message crosses data centres.
func crossesCentres(from, to string, _ bool) bool { return centreOf(from) != centreOf(to) }

// Guards against members, leaving marks, quarantine entries, revisions and usage that do not
// reach the other data centre, also after a partition or the loss of relays.
func TestRelays(t *testing.T) {
	const members = 3
	first, second := instanceName(centreA, 0), instanceName(centreB, 0)
	share := func(f *fleet) {
		m := f.members[first]
		require.NoError(f.t, m.SetLeaving("far", true))
		m.SetQuarantine(&mcmessage.QuarantineEntry{Fingerprint: 5, Crashes: 1, ExpiresUnixMs: time.Now().Add(3 * time.Hour).UnixMilli()})
		m.SetRevision(41, 42)
	}
	cases := map[string]struct {
		act func(f *fleet)
		// knows reports whether second must have received what first shared.
		knows bool
		// gone lists the members of first's data centre that must be gone as seen by second.
		gone []int
	}{
		"shared at once": {
			act: func(f *fleet) {
				share(f)
				time.Sleep(5 * time.Second)
			},
			knows: true,
		},
		"cut off": {
			act: func(f *fleet) {
				f.setDrop(crossesCentres)
				share(f)
				time.Sleep(time.Minute)
			},
		},
		"cut off and back": {
			act: func(f *fleet) {
				f.setDrop(crossesCentres)
				share(f)
				f.kill(instanceName(centreA, 1))
				time.Sleep(time.Hour)
				f.setDrop(nil)
				time.Sleep(20 * time.Second)
			},
			knows: true, gone: []int{1},
		},
		"relays die": {
			act: func(f *fleet) {
				for i := 1; i < 3; i++ {
					f.kill(instanceName(centreA, i))
				}
				time.Sleep(30 * time.Second)
				share(f)
				time.Sleep(10 * time.Second)
			},
			knows: true, gone: []int{1, 2},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, members, centreA, centreB)
				f.startAll(func(m *mcmember.Member) {
					m.Usage = func() []mcmember.TeamUsage {
						return []mcmember.TeamUsage{{Team: "copo", TokensPerSecond: 100, Concurrency: 1, Share: 0.25}}
					}
				})
				c.act(f)
				synctest.Wait()
				m := f.members[second]
				require.Equal(t, c.knows, m.Leaving("far"))
				_, held := m.Quarantine(5)
				require.Equal(t, c.knows, held)
				require.Equal(t, c.knows, m.NewestRevision() == 42)
				seen := states(m)
				for i := range members {
					want := live
					for _, lost := range c.gone {
						if i == lost {
							want = gone
						}
					}
					require.Equal(t, want, seen[instanceName(centreA, i)], "member %d", i)
				}
				require.Len(t, m.DeploymentCandidates(), 2*members-len(c.gone))
				usage := m.CentreUsage("copo")[centreA]
				require.Equal(t, members-len(c.gone), usage.Concurrency)
				require.Len(t, m.PeerUsage("copo"), members)
				for _, v := range m.Members() {
					if v.Instance == first && c.knows {
						require.Equal(t, uint64(41), v.ConfigRevision)
						require.Less(t, v.Age, 20*time.Second)
					}
				}
			})
		})
	}
}

// Guards against traffic between data centres that grows with the number of members.
func TestOnlyRelaysCallOtherCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, centreA, centreB)
		f.startAll(nil)
		callers := make(map[string]bool)
		f.setDrop(func(from, to string, answer bool) bool {
			if !answer && crossesCentres(from, to, false) {
				callers[from] = true
			}
			return false
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		f.setDrop(nil)
		require.Len(t, callers, 2*mcmember.RelaysPerCentre)
	})
}

// Guards against a slow subscriber that blocks its member, or that loses events without
// getting EventDropped.
func TestSlowSubscriberGetsEventDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, centreA)
		f.startAll(nil)
		m := f.members[instanceName(centreA, 0)]
		slow, all := m.Subscribe(2), m.Subscribe(1000)
		for i := range 5 {
			f.members[instanceName(centreA, 1)].SetRevision(uint64(i), uint64(i+1))
			time.Sleep(3 * time.Second)
		}
		synctest.Wait()
		require.Equal(t, 2, slow.Len())
		require.Equal(t, mcmember.EventDropped, newestOf(slow.Items()).Kind)
		var revisions []uint64
		for all.Len() > 0 {
			if e := <-all.Items(); e.Kind == mcmember.EventConfig {
				revisions = append(revisions, e.Revision)
			}
		}
		require.Equal(t, []uint64{1, 2, 3, 4, 5}, revisions)
	})
}

func newestOf(events <-chan mcmember.Event) mcmember.Event {
	var newest mcmember.Event
	for len(events) > 0 {
		newest = <-events
	}
	return newest
}

// Guards against in-flight records that do not reach peers, and against traffic above the
// budget.
func TestInFlightAndTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, b := newFleet(t, 5, centreA), &fakeEndpoints{}
		b.resetPolls()
		f.list.answer.Endpoints = []marigoldcroft.ListedEndpoint{{Name: "e0", DataCentre: centreA, Address: "http://e"}}
		work := map[string]marigoldcroft.InFlight{"e0": {Short: 3, Long: 1, PrefillTokens: 2048, KVTokens: 4096}}
		f.startAll(func(m *mcmember.Member) {
			m.Loader = memberLoader{b, m.Self.PeerAddress}
			m.InFlight = func() map[string]marigoldcroft.InFlight { return work }
		})
		m := f.members[instanceName(centreA, 0)]
		for i := 1; i < 5; i++ {
			require.Equal(t, work, m.PeerInFlight(instanceName(centreA, i)))
		}
		traffic := m.Traffic()
		require.Positive(t, traffic.Messages)
		require.Positive(t, traffic.BytesPerSecond)
		require.Less(t, traffic.BytesPerSecond, float64(mcmember.DefaultBytesPerSecond))
	})
}
