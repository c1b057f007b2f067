package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcstandin"
)

// Guards against an instance that was suspended (SIGSTOP) when a data centre was evacuated, and sends the
// requests that wait for it there as soon as it continues.
func TestSuspendedInstanceAsksBeforeItSends(t *testing.T) {
	c := newForwardingCluster(t, 1, "evacuationDelay: 5s")
	other := &mcstandin.PlatformServer{ID: "i-2"}
	c.platform.PutEntry("i-2", mcstandin.PlatformEntry{
		Service: "s", Address: strings.TrimPrefix(c.startServer(other), "http://"), DataCentre: "y", Slots: 8,
		State: mcstandin.PlatformReady, Started: 5,
	})
	p := c.entries[0]
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, c.requestStatus(p, "key"))
		return len(other.Runs()) > 0
	}, startTimeout, time.Millisecond)
	for range 3 {
		require.NoError(t, p.command.Process.Signal(syscall.SIGSTOP))
		c.platform.Put("evacuations", "y", []byte(`{}`))
		// The answer to the watch must not be what the instance finds first.
		c.platform.SetFaults(mcstandin.PlatformStoreFaults{SlowMs: 50})
		time.Sleep(2 * time.Second)
		before := len(other.Runs())
		var requests sync.WaitGroup
		for range 40 {
			requests.Go(func() { c.requestStatus(p, "key") })
		}
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, p.command.Process.Signal(syscall.SIGCONT))
		requests.Wait()
		require.Len(t, other.Runs(), before)
		c.platform.SetFaults(mcstandin.PlatformStoreFaults{})
		c.platform.Remove("evacuations", "y")
		require.Eventually(t, func() bool {
			c.requestStatus(p, "key")
			return len(other.Runs()) > before
		}, startTimeout, time.Millisecond)
	}
}
