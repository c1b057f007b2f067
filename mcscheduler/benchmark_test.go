package mcscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcscheduler"
)

// BenchmarkDecision measures Submit, FirstToken and Finish of one short request beside
// a constant load of four decoding requests, a report and a peer per endpoint. The
// requests are created in advance. Time advances by 1 us per request, so that reports
// stay current.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{67, 600} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%s/%d", policy, endpoints), func(b *testing.B) {
				s := newScheduler(b, policy, endpoints, nil)
				for n := range 4 * endpoints {
					s.Submit(at(n), work(n, 100, 500))
					s.FirstToken(at(n), id(n))
				}
				for e := range endpoints {
					name := fmt.Sprintf("e%d", e)
					s.ObservePeer(at(9000), "peer", name, marigoldcroft.InFlight{Short: 3, Long: 1, PrefillTokens: 50_000})
					s.ObserveReport(at(9500), marigoldcroft.LoadReport{Endpoint: name, Running: 9, PrefillTokens: 51_000})
				}
				works := make([]marigoldcroft.Work, 1024)
				for i := range works {
					works[i] = work(1_000_000+i, 1000, 200)
					works[i].PrefixHash = uint64(i%64) + 1
				}
				done := marigoldcroft.Completion{
					Succeeded: true, PromptTokens: 1000, OutputTokens: 100,
					FirstToken: 100 * time.Millisecond, Total: time.Second,
				}
				now := at(10_000)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					w := works[i%len(works)]
					now = now.Add(time.Microsecond)
					if d := s.Submit(now, w); d.Action != marigoldcroft.ActionDispatch {
						b.Fatalf("not dispatched: %+v", d)
					}
					s.FirstToken(now, w.ID)
					s.Finish(now, w.ID, done)
				}
			})
		}
	}
}

// BenchmarkPollQueued measures a poll with 2000 queued requests: without any change,
// and after a change that frees no resources.
func BenchmarkPollQueued(b *testing.B) {
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("changed=%t", changed), func(b *testing.B) {
			s := newScheduler(b, mcscheduler.PolicyLengthAware, 67, func(c *mcscheduler.Settings) {
				c.QueueLength = 4000 // normal work is shed at three quarters of the queue
			})
			n := 0
			for ; s.Queued() < 2000; n++ {
				w := work(n, 1000, 95_000)
				w.Team, w.Urgency = fmt.Sprint(n%50), marigoldcroft.UrgencyNormal
				s.Submit(epoch, w)
				require.Less(b, n, 3000)
			}
			s.Poll(epoch, nil)
			b.ReportAllocs()
			for b.Loop() {
				if changed {
					s.ObservePeer(epoch, "peer", "e0", marigoldcroft.InFlight{Short: 1})
				}
				s.Poll(epoch, nil)
			}
		})
	}
}
