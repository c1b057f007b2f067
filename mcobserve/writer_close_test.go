package mcobserve_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcobserve"
)

// Guards against a process that never ends after a planned stop because its log output is stuck, as a
// pipe that nobody reads.
func TestCloseDoesNotWaitForAStuckOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	w := mcobserve.NewBoundedWriter(out, 4)
	_, err := w.Write([]byte("line\n"))
	require.NoError(t, err)
	closed := make(chan struct{})
	go func() {
		w.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("Close has not returned")
	}
}
