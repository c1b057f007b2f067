package mcentry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcsetting"
	"marigoldcroft/mcstandin"
)

// sentRequest is a request of a caller that keeps its connection, with the status of its answer, or 0
// if it had none.
type sentRequest struct {
	id     string
	at     time.Time
	status int
}

// sendUntilGone sends one request after the other over kept connections until the instance accepts no
// connection.
func (s *site) sendUntilGone(ctx context.Context, caller int, path string) []sentRequest {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var sent []sentRequest
	for ctx.Err() == nil {
		request := sentRequest{id: fmt.Sprintf("c%d-%d", caller, len(sent)), at: time.Now()}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.instances[0].callers+path, nil)
		if err != nil {
			return sent
		}
		r.Host = "svc.example"
		r.Header.Set("Request-Id", request.id)
		r.Header.Set("Authorization", "Bearer key")
		response, err := client.Do(r)
		if err == nil {
			if _, err = io.Copy(io.Discard, response.Body); err == nil {
				request.status = response.StatusCode
			}
			response.Body.Close()
		}
		sent = append(sent, request)
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			return sent
		}
	}
	return sent
}

// Guards against requests that come late in a planned stop over kept connections, are passed on to an
// endpoint and cut at the end of the stop without an answer, or refused as not run although they have.
func TestLateRequestsOfAStopAreAnsweredOrNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		name, kind string
		// callTimes are those of the endpoint; the one that applies changes during the stop.
		callTimes []time.Duration
	}{
		{"short calls", "non_idempotent", []time.Duration{20 * time.Millisecond}},
		{"calls become longer than the grace time", "non_idempotent", []time.Duration{20 * time.Millisecond, 20 * time.Second}},
		{"calls that may be repeated", "idempotent", []time.Duration{50 * time.Millisecond, 20 * time.Second}},
		{"streams", "streaming", []time.Duration{50 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, func(settings *mcsetting.Settings) { settings.Forward.Grace = 4 * time.Second })
			var mu sync.Mutex
			callTime, ran := c.callTimes[0], make(map[string]bool)
			back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				server := &mcstandin.PlatformServer{ID: "i-1", CallTime: callTime, Events: 20, EventInterval: 30 * time.Millisecond}
				ran[r.Header.Get("Request-Id")] = true
				mu.Unlock()
				server.ServeHTTP(w, r)
			}))
			t.Cleanup(back.Close)
			s.store.Put("config", "main", bytes.ReplaceAll(bytes.ReplaceAll(configuration(2, `"key"`), []byte(`"idempotent"`), []byte(`"`+c.kind+`"`)),
				[]byte(`"timeout-ms":3000`), []byte(`"timeout-ms":30000`)))
			s.store.Put("servers", "i-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","batch-slots":40,"state":"ready","born":6}`,
				strings.TrimPrefix(back.URL, "http://")))
			path := "/v2/x"
			if c.kind == "streaming" {
				path = "/v2/stream/x"
			}
			require.Eventually(t, func() bool { return s.instances[0].get(t, path, "key") == http.StatusOK }, 5*time.Second, 10*time.Millisecond)

			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var callers sync.WaitGroup
			all := make([][]sentRequest, 20)
			for i := range all {
				callers.Go(func() { all[i] = s.sendUntilGone(ctx, i, path) })
			}
			time.Sleep(500 * time.Millisecond)
			s.instances[0].stop()
			time.Sleep(time.Second)
			mu.Lock()
			callTime = c.callTimes[len(c.callTimes)-1]
			mu.Unlock()
			err := <-s.instances[0].ended
			s.instances[0].ended <- err
			cancel()
			callers.Wait()

			mu.Lock()
			defer mu.Unlock()
			served := 0
			for _, sent := range all {
				for _, request := range sent {
					if request.status == http.StatusOK {
						served++
					}
					if !ran[request.id] {
						continue
					}
					require.NotZero(t, request.status, "%s was passed on and has no answer", request.id)
					require.NotEqual(t, http.StatusServiceUnavailable, request.status, "%s has run", request.id)
				}
			}
			require.Positive(t, served)
		})
	}
}
