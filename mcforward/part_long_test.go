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

// Guards against a deadly part that crashes one endpoint after another because it comes late in a
// prompt of many parts.
func TestDeadlyPartIsFoundLateInThePrompt(t *testing.T) {
	b := newTestBed(t, 10)
	var crashed atomic.Int64
	for i := range b.servers {
		b.httpServers[i].Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			crashed.Add(1)
			_ = b.httpServers[i].Listener.Close()
			panic(http.ErrAbortHandler)
		})
	}
	for n := range 8 {
		r := b.request(http.MethodPost, fmt.Sprintf("/solo/stream/%d", n), "prompt")
		var earlier strings.Builder
		for i := range 40 {
			fmt.Fprintf(&earlier, "%d%02d:800,", n, i)
		}
		r.Header.Set("Prefix-Hash", earlier.String()+fmt.Sprintf("dead:410,%d:250", n))
		b.send(r)
		// A crash is known after the probes of the endpoint.
		time.Sleep(300 * time.Millisecond)
	}
	require.LessOrEqual(t, crashed.Load(), int64(5))
}
