package mcentry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcentry"
)

// stuckOutput is an output that nobody reads.
type stuckOutput struct{ release chan struct{} }

func (o stuckOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// Guards against requests that are not answered, and a process that does not end, because nobody reads
// the log of the instance.
func TestChatInstanceServesWhileItsOutputIsStuck(t *testing.T) {
	w := newTestDeployment(t)
	output := stuckOutput{make(chan struct{})}
	defer close(output.release)
	settings := w.settings("a", "a-2", w.store, w.list.Handler())
	settings.Log.Level = "info"
	c := &dataCentre{name: "a", entry: &mcentry.Entry{Settings: settings, Output: output}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	ready := make(chan struct{})
	go func() {
		if err := c.entry.Start(ctx); err != nil {
			ended <- err
			return
		}
		close(ready)
		ended <- c.entry.Serve(ctx)
	}()
	select {
	case <-ready:
	case <-time.After(10 * time.Second):
		t.Fatal("the instance has not started")
	}
	require.Eventually(t, func() bool { return c.requestModel() == http.StatusOK }, 20*time.Second, 10*time.Millisecond)
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the instance has not ended")
	}
}
