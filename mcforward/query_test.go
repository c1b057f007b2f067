package mcforward_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashOn makes each endpoint crash when it begins a request for which deadly returns true, and come
// back never. It returns the number of crashes.
func (b *testBed) crashOn(deadly func(r *http.Request) bool) *atomic.Int64 {
	var crashed atomic.Int64
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if deadly(r) {
				crashed.Add(1)
				go b.httpServers[i].CloseClientConnections()
				_ = b.httpServers[i].Listener.Close()
				panic(http.ErrAbortHandler)
			}
			b.servers[i].ServeHTTP(w, r)
		})
	}
	return &crashed
}

// Guards against a request that crashes each endpoint that begins it and is not recognised because its
// query differs each time, as that of a caller that counts its retries, or because a header does. Sound
// requests that share the path, the caller and the body with it must be served at the first attempt.
func TestCrashingRequestIsRecognisedWhateverElseVaries(t *testing.T) {
	for _, c := range []struct {
		name string
		// deadly is the n-th request that crashes endpoints, sound the n-th that is sent after
		// each of these, or "" for none.
		deadly, sound string
		vary          func(r *http.Request, n int)
	}{
		{"query counts", "/again/x?retry=%d", "", nil},
		{"query counts beside a parameter that is deadly", "/again/x?retry=%d&item=deadly", "/again/x?retry=%d&item=7", nil},
		{"query counts, orders", "/once/x?retry=%d", "", nil},
		{"headers vary", "/again/x", "", func(r *http.Request, n int) {
			r.Header.Set("User-Agent", fmt.Sprint(n))
			r.Header.Set("Length-Hint", fmt.Sprint(n))
			r.Header.Set("X-Retry", fmt.Sprint(n))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed(t, 10)
			path, parameter, _ := strings.Cut(strings.ReplaceAll(c.deadly, "retry=%d", ""), "?")
			crashed := b.crashOn(func(r *http.Request) bool {
				return r.URL.Path == path && strings.Contains(r.URL.RawQuery, strings.Trim(parameter, "&"))
			})
			get := func(path string, n int) callerResponse {
				if strings.Contains(path, "%d") {
					path = fmt.Sprintf(path, n)
				}
				r := b.request(http.MethodGet, path, "")
				if c.vary != nil {
					c.vary(r, n)
				}
				return b.send(r)
			}
			sound := 0
			for n := range 12 {
				last := get(c.deadly, n)
				time.Sleep(200 * time.Millisecond)
				if c.sound != "" {
					require.Equal(t, http.StatusOK, get(c.sound, n).status)
					sound++
				}
				if n >= 6 {
					require.Equal(t, http.StatusServiceUnavailable, last.status)
					require.Contains(t, last.body, "crashed endpoints")
				}
			}
			require.LessOrEqual(t, crashed.Load(), int64(5))
			require.Len(t, b.runs(), sound, "sound requests run once each")
		})
	}
}
