package mcobserve_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcobserve"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against writes that block while the log output is stuck, and against lines that
// are dropped without being reported.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := mcobserve.NewBoundedWriter(out, 4)
	for range 100 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	close(out.release)
	w.Close()
	require.Contains(t, out.text.String(), "event=logLinesDropped count=")
	require.GreaterOrEqual(t, strings.Count(out.text.String(), "line\n"), 4)
}
