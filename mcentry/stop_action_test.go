package mcentry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcentry"
	"marigoldcroft/mcstandin"
)

// Guards against an action whose outcome stays unknown although it ended, because the instance
// that ran it was aborted in its planned stop and did not record it.
func TestAbortedStopRecordsActions(t *testing.T) {
	t.Parallel()
	w := newTestDeployment(t)
	a, b := w.centres[0], w.centres[1]
	w.service.SetFaults(mcstandin.ServiceFaults{SlowMs: 300, NoStatus: true})
	key := newKey()
	reply := make(chan orderReply, 1)
	go func() { reply <- a.order(key) }()
	w.eventually("the order runs", func() bool {
		load := httptest.NewRecorder()
		w.service.ServeHTTP(load, httptest.NewRequest(http.MethodGet, "/v1/load", nil))
		return strings.Contains(load.Body.String(), `"running":1`)
	})
	a.stop()
	close(a.abort)
	require.Equal(t, mcentry.KindStopLimit, marigoldcroft.FailureKind[mcentry.Kind](<-a.served))
	// The instance runs in this process, which does not end.
	a.store.blocked.Store(true)
	require.Equal(t, "unknown", (<-reply).outcome)
	w.eventually("the order has a final outcome in b", func() bool {
		r := b.order(key)
		return r.status == http.StatusOK || r.outcome == "unknown" && r.status == http.StatusBadGateway
	})
	require.Equal(t, http.StatusOK, b.order(key).status)
	require.Equal(t, 1, w.service.Runs()["studio-cusco/"+key])
}
