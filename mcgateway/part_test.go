package mcgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcgateway"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcquarantine"
)

const system = `{"role":"system","content":"rules"}`

// conversation returns a request body with the messages and a last one of its own.
func conversation(template, messages string, n int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[%s,{"role":"user","content":"question %d"}]}`, template, messages, n)
}

// crashWithSystem crashes n endpoints while requests with the message system run there.
func crashWithSystem(g *testGateway, n int) {
	part := mcquarantine.PartFingerprint("m", "system\x00"+strconv.FormatUint(xxhash.Sum64String("rules"), 16))
	for i := range n {
		time.Sleep(time.Millisecond)
		id, endpoint := marigoldcroft.NewStreamID("earlier", i), fmt.Sprint("dead", i)
		g.Quarantine.Begin(time.Now(), endpoint, id, mcquarantine.Fingerprint(i), []mcquarantine.Fingerprint{part})
		g.Quarantine.StreamBroken(time.Now(), endpoint, id)
		g.Quarantine.ConnectionRefused(time.Now(), endpoint)
	}
}

// hasSuspectPart reports whether a shared message is a crash suspect or quarantined.
func hasSuspectPart(g *testGateway) bool {
	for _, e := range g.Quarantine.Entries(time.Now()) {
		if e.Part && e.Crashes > 0 {
			return true
		}
	}
	return false
}

// Guards against requests that share only a deadly message, otherwise unlike, and crash one engine
// after the other, here through two gateways. Requests without it must still be served.
func TestDeadlyMessageIsQuarantined(t *testing.T) {
	const deadly = `{"role":"user","content":"poison document"}`
	for name, c := range map[string]struct{ deadly, sound string }{
		"system message":                    {`{"role":"system","content":"poison rules"}`, system},
		"earlier message of a conversation": {system + `,` + deadly + `,{"role":"assistant","content":"read"}`, system + `,{"role":"assistant","content":"read"}`},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEngineFleet(t, 10)
			gateways := []*testGateway{f.newGateway(t, "0"), f.newGateway(t, "1")}
			for i, g := range gateways {
				g.AnnounceQuarantine = func(_ context.Context, entries []*mcmessage.QuarantineEntry) {
					gateways[1-i].Quarantine.Merge(time.Now(), entries)
				}
				require.Equal(t, http.StatusOK, g.chat(t.Context(), conversation("caption", c.sound, 0)).Code)
			}
			for i := range 10 {
				w := gateways[i%2].chat(t.Context(), conversation("caption", c.deadly, i))
				require.NotEqual(t, http.StatusOK, w.Code)
				if i < 3 {
					continue
				}
				require.Equal(t, http.StatusUnprocessableEntity, w.Code, w.Body)
				problem := decodeProblem(t, w.Body.String())
				require.Equal(t, mcgateway.CodeQuarantined, problem.Code)
				require.True(t, problem.NotRun)
			}
			require.LessOrEqual(t, f.crashed.Load(), int32(3))
			for _, g := range gateways {
				require.Equal(t, http.StatusOK, g.chat(t.Context(), conversation("caption", c.sound, 1)).Code)
				g.Wait()
				require.Empty(t, g.Dispatcher.Scheduler.InFlight())
			}
		})
	}
}

// Guards against a request that waited in the queue and then takes one more engine down, as its
// message was quarantined in the meantime. It must be refused as not run.
func TestMessageQuarantinedDuringTheWait(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x"}}))
		g.scheduler.queue = true
		go func() {
			time.Sleep(time.Second)
			crashWithSystem(g, 3)
			g.scheduler.decide(marigoldcroft.ActionDispatch, "a")
		}()
		problem := decodeProblem(t, g.chat(t.Context(), conversation("caption", system, 1)).Body.String())
		require.Equal(t, mcgateway.CodeQuarantined, problem.Code)
		require.True(t, problem.NotRun)
		g.Wait()
		require.Empty(t, g.engine.calls)
		require.Empty(t, g.scheduler.held)
	})
}

// Guards against a request with a suspected message that takes down two engines more, by a hedge
// or by a repeat after a broken stream. After a failure that is no crash it is repeated.
func TestSuspectedMessageIsNotRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		calls string
	}{
		"late first token": {"~ x", "generate a"},
		"broken stream":    {"!stream_broken", "generate a resume0 a"},
		"failure":          {"!!failed", "generate a generate b"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": {c.first, "!!stream_not_found"}, "b": {"x"}}))
				g.scheduler.predictedFirstToken = 10 * time.Millisecond
				crashWithSystem(g, 1)
				g.chat(t.Context(), conversation("caption", system, 1))
				g.Wait()
				require.Equal(t, c.calls, strings.Join(g.engine.calls, " "))
			})
		})
	}
}

// Guards against a sound message that is suspected because its engine crashes long after the
// answer began. A resumed stream must keep the time at which its answer began.
func TestLateCrashSuspectsNoMessage(t *testing.T) {
	for name, words := range map[string][]string{
		"first stream":   {"x ~ ~ y !stream_broken", "!!stream_not_found"},
		"resumed stream": {"x ~ ~ y !stream_broken", "~ z !stream_broken", "!!stream_not_found"},
		"began late":     {"~ ~ ~ x !stream_broken", "!!stream_not_found"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				g := run(newTestGateway(map[string][]string{"a": words}))
				g.engine.load = syscall.ECONNREFUSED
				g.chat(t.Context(), conversation("print", system, 1))
				g.Wait()
				synctest.Wait()
				require.NotEmpty(t, g.Quarantine.Entries(time.Now()), "the crash was counted")
				require.Equal(t, name == "began late", hasSuspectPart(g))
			})
		})
	}
}

// Guards against segments of one prompt that make their common instructions a suspect several
// times over: only one segment is deadly, so requests with the instructions must still be served.
func TestSegmentsQuarantineNoCommonMessage(t *testing.T) {
	f := newEngineFleet(t, 6)
	g := f.newGateway(t, "0")
	g.LargestEngineTokens = func(string) int64 { return 2000 }
	long := strings.Repeat("long ", 3000) + "poison " + strings.Repeat("long ", 3000)
	ask := `{"model":"dossier","messages":[` + system + `,{"role":"user","content":"` + long + `"}]}`
	for range 3 {
		require.NotEqual(t, http.StatusOK, g.chat(t.Context(), ask).Code)
	}
	require.LessOrEqual(t, f.crashed.Load(), int32(3))
	require.Equal(t, http.StatusOK, g.chat(t.Context(), conversation("dossier", system, 1)).Code)
	g.Wait()
	require.Empty(t, g.Dispatcher.Scheduler.InFlight())
	require.False(t, hasSuspectPart(g))
}

// Guards against jobs that crash engines with a quarantined message: a new one is refused, one
// that was recorded before ends without reaching an engine.
func TestJobWithQuarantinedMessage(t *testing.T) {
	bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
		g := run(newTestGateway(map[string][]string{"a": {"x"}}))
		store := &fakeJobs{}
		g.Jobs, g.JobStatus = store, store
		crashWithSystem(g, 3)
		w := g.request(t.Context(), http.MethodPost, "/v1/jobs", conversation("caption", system, 1))
		require.Equal(t, http.StatusUnprocessableEntity, w.Code)
		status := marigoldcroft.JobStatus{ID: "j", Team: "studio", Template: "caption", Deadline: time.Now().Add(time.Minute)}
		_, err := g.RunJob(t.Context(), status, []byte(conversation("caption", system, 1)))
		var problem *mcgateway.Problem
		require.ErrorAs(t, err, &problem)
		require.Equal(t, mcgateway.CodeQuarantined, problem.Code)
		require.Empty(t, g.engine.calls)
	})
}

// Guards against sound requests that fail because another request of the crashed engine has
// reported the crash first: their own messages then seem to be suspects of an earlier crash.
func TestCrashFailsNoSoundRequest(t *testing.T) {
	const requests = 4
	for range 6 {
		f := newEngineFleet(t, 2)
		g := f.newGateway(t, "0")
		scheduler := g.Dispatcher.Scheduler
		scheduler.SetEndpoints(time.Now(), []marigoldcroft.Endpoint{f.endpoints["a"]})
		codes := make(chan int, requests)
		for i := range requests {
			go func() {
				codes <- g.chat(t.Context(), conversation("caption", fmt.Sprintf(`{"role":"system","content":"%d"}`, i), i)).Code
			}()
		}
		require.Eventually(t, func() bool { return scheduler.InFlight()["a"].Short == requests && f.engines[0].KVUsed() > 0 }, 10*time.Second, time.Millisecond)
		now := time.Now()
		scheduler.SetEndpoints(now, []marigoldcroft.Endpoint{f.endpoints["a"], f.endpoints["b"]})
		scheduler.ObserveReport(now, marigoldcroft.LoadReport{Endpoint: "b", Incarnation: 1, Time: now, KVCapacityTokens: 100_000})
		f.engines[0].Crash()
		for range requests {
			require.Equal(t, http.StatusOK, <-codes)
		}
		g.Wait()
	}
}

// Guards against a request that waited in the queue while its copies crashed engines, and then
// takes one more down: a suspect must be queued again to run isolated, a quarantined request must
// be refused as not run.
func TestRequestSuspectedDuringTheWait(t *testing.T) {
	for crashes, code := range map[int]int{1: http.StatusOK, 2: http.StatusUnprocessableEntity} {
		bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
			g := run(newTestGateway(map[string][]string{"a": {"x"}}))
			g.chat(t.Context(), body("caption", ""))
			g.scheduler.queue = true
			time.AfterFunc(time.Second, func() {
				for range crashes {
					makeSuspect(g, g.engine.sent[0])
				}
				g.scheduler.decide(marigoldcroft.ActionDispatch, "a")
			})
			second := time.AfterFunc(2*time.Second, func() { g.scheduler.decide(marigoldcroft.ActionDispatch, "a") })
			defer second.Stop()
			w := g.chat(t.Context(), body("caption", ""))
			require.Equal(t, code, w.Code, w.Body)
			g.Wait()
			if code == http.StatusOK {
				require.Equal(t, 1, g.scheduler.isolated)
				return
			}
			require.True(t, decodeProblem(t, w.Body.String()).NotRun)
			require.Equal(t, 1, g.engine.count())
		})
	}
}
