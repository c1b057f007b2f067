package mcobserve

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"marigoldcroft/mcring"
)

// closeTimeout limits the time for the lines that are queued when the writer is closed.
const closeTimeout = time.Second

// BoundedWriter writes lines asynchronously through a bounded queue, so that a slow log
// output never blocks a request. Lines that do not fit in the queue are dropped and
// counted.
type BoundedWriter struct {
	out     io.Writer
	lines   *mcring.Ring[[]byte]
	dropped atomic.Int64
	closed  chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer that queues up to capacity lines.
func NewBoundedWriter(out io.Writer, capacity int) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: mcring.New[[]byte](capacity), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line; it never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine, or gives up after closeTimeout if the output
// is stuck. It must be called only once.
func (w *BoundedWriter) Close() {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines.Items():
			w.writeLine(line)
		case <-w.closed:
			for w.lines.Len() > 0 {
				w.writeLine(<-w.lines.Items())
			}
			return
		}
	}
}

// writeLine writes a line, preceded by the number of dropped lines if there are any.
func (w *BoundedWriter) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, "level=warn event=logLinesDropped count=%d\n", n), line...)
	}
	// A write error is ignored, as there is nowhere else to report it.
	_, _ = w.out.Write(line)
}
