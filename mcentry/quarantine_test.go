package mcentry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcentry"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

// suspectFleet is a set of instances that share crash suspects. Its requests have one message in
// common.
type suspectFleet struct {
	t         *testing.T
	instances []*mcentry.SuspectSharing
	requests  int
}

var sharedMessage = []mcquarantine.Fingerprint{mcquarantine.PartFingerprint("m", "rules")}

func newSuspectFleet(t *testing.T, n int) *suspectFleet {
	f := &suspectFleet{t: t}
	for i := range n {
		f.instances = append(f.instances, mcentry.NewSuspectSharing(fmt.Sprint("i", i)))
	}
	return f
}

// exchange passes all entries to all instances, also those that result.
func (f *suspectFleet) exchange() {
	for range 2 {
		for _, from := range f.instances {
			var entries []*mcmessage.QuarantineEntry
			for _, e := range from.Entries() {
				entries = append(entries, proto.CloneOf(e))
			}
			for _, to := range f.instances {
				if to != from {
					require.NoError(f.t, to.Receive(f.t.Context(), entries))
				}
			}
		}
	}
}

// request runs a request of the instance that is answered or crashes its endpoint.
func (f *suspectFleet) request(instance int, crash bool) {
	time.Sleep(time.Millisecond)
	f.requests++
	s, id, endpoint := f.instances[instance], marigoldcroft.NewStreamID("r", f.requests), fmt.Sprint("e", f.requests)
	s.Guard.Begin(time.Now(), endpoint, id, mcquarantine.Fingerprint(f.requests), sharedMessage)
	time.Sleep(time.Millisecond)
	if !crash {
		s.Announce(s.Guard.End(time.Now(), endpoint, id, true))
		return
	}
	s.Guard.StreamBroken(time.Now(), endpoint, id)
	s.Announce(s.Guard.ConnectionRefused(time.Now(), endpoint))
}

// crash lets n requests of the instance crash endpoints one after the other.
func (f *suspectFleet) crash(instance, n int) {
	for range n {
		f.request(instance, true)
		f.exchange()
	}
}

// quarantining returns the number of instances that refuse the shared message.
func (f *suspectFleet) quarantining() int {
	n := 0
	for _, s := range f.instances {
		if _, quarantined := s.Guard.QuarantinedPart(time.Now(), sharedMessage); quarantined {
			n++
		}
	}
	return n
}

// Guards against a sound message that is quarantined because the instance at which its requests
// are answered does not tell the others, which saw only crashes.
func TestProvenMessageIsClearedAtPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSuspectFleet(t, 3)
		f.request(0, false)
		f.crash(1, 4)
		require.Zero(t, f.quarantining())
		f.crash(1, 2)
		require.Equal(t, 3, f.quarantining(), "five crashes in a row since it was cleared")
	})
}

// Guards against a quarantine of a message that an operator cannot lift on all instances, or after
// which the instances no longer agree on further crashes: here some minutes after the clear, with
// one crash in between, and at an instance that did not know the message.
func TestOperatorClearsMessageOnAllInstances(t *testing.T) {
	for name, c := range map[string]struct {
		// crashes are those before the clear; told is true if the instances exchange them.
		crashes int
		told    bool
		// later is the instance at which crashes follow.
		later int
	}{
		"quarantined": {3, true, 0}, "not known at the instance": {1, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSuspectFleet(t, 3)
				for range c.crashes {
					f.request(0, true)
					if c.told {
						f.exchange()
					}
				}
				if c.told {
					require.Equal(t, 3, f.quarantining())
				}
				require.NoError(t, f.instances[1].ClearQuarantine(sharedMessage[0]))
				f.exchange()
				require.Zero(t, f.quarantining())
				f.request(c.later, true)
				time.Sleep(2 * time.Minute)
				f.crash(c.later, 5)
				require.Equal(t, 3, f.quarantining(), "five crashes in a row after the clear")
				f.request(2, false)
				f.exchange()
				require.Zero(t, f.quarantining())
			})
		})
	}
}

// Guards against an operator's clear of a request, or a crash that a peer counts, which the instance
// that counted the first crash ignores.
func TestRequestEntriesOfPeersAreNotIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSuspectFleet(t, 3)
		crash := func(instance, n int) {
			time.Sleep(time.Millisecond)
			s, id := f.instances[instance], marigoldcroft.NewStreamID("crash", n)
			s.Guard.Begin(time.Now(), fmt.Sprint("e", n), id, 7, nil)
			s.Guard.StreamBroken(time.Now(), fmt.Sprint("e", n), id)
			s.Announce(s.Guard.ConnectionRefused(time.Now(), fmt.Sprint("e", n)))
			f.exchange()
		}
		verdicts := func() (verdicts []mcquarantine.Verdict) {
			for _, s := range f.instances {
				verdicts = append(verdicts, s.Guard.Check(time.Now(), 7))
			}
			return verdicts
		}
		all := func(v mcquarantine.Verdict) []mcquarantine.Verdict { return []mcquarantine.Verdict{v, v, v} }
		crash(0, 1)
		require.Equal(t, all(mcquarantine.VerdictExclusive), verdicts())
		crash(1, 2)
		require.Equal(t, all(mcquarantine.VerdictQuarantined), verdicts())
		require.NoError(t, f.instances[2].ClearQuarantine(7))
		f.exchange()
		require.Equal(t, all(mcquarantine.VerdictRun), verdicts())
	})
}
