package mcentry_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcentry"
)

// Guards against a chat instance that is ready once it has a configuration, while its scheduler
// has no engine yet and refuses all requests.
func TestChatInstanceIsNotReadyBeforeItKnowsItsEngines(t *testing.T) {
	w := newTestDeployment(t)
	release := make(chan struct{})
	listing := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
			w.list.Handler().ServeHTTP(rw, r)
		case <-r.Context().Done():
		}
	})
	c := &dataCentre{name: "a", entry: &mcentry.Entry{Settings: w.settings("a", "a-2", w.store, listing), Output: os.Stderr}}
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, c.entry.Start(ctx))
	ended := make(chan error, 1)
	go func() { ended <- c.entry.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	ready := func() (bool, string) {
		status, text := c.call(http.MethodGet, "/readyz", "", "", "")
		return status == http.StatusOK, strings.TrimSpace(string(text))
	}
	w.eventually("the configuration is in force", func() bool { return c.entry.Editor().Follower.Current().Revision() > 0 })
	known, reason := ready()
	require.False(t, known)
	require.Equal(t, "no endpoints yet", reason)
	close(release)
	require.Eventually(t, func() bool {
		known, _ := ready()
		return known
	}, eventuallyTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, c.requestModel())
}
