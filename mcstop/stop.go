// Package mcstop holds the state of a planned stop, which both interfaces to callers share.
package mcstop

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Stop is the state of a planned stop. A stop has three phases: Begin makes the instance
// unready, but what still arrives is served if it can end in time; RefuseNew refuses new
// requests; Abort ends the requests that remain. The zero value is an instance that is not
// stopping.
type Stop struct {
	once           sync.Once
	begun, aborted context.Context
	begin, abort   context.CancelFunc
	refusingNew    atomic.Bool
	// endBy is set before begun ends and never changes after that.
	endBy time.Time
	mu    sync.Mutex
}

func (s *Stop) init() {
	s.once.Do(func() {
		s.begun, s.begin = context.WithCancel(context.Background())
		s.aborted, s.abort = context.WithCancel(context.Background())
	})
}

// Begin starts the stop; requests should have ended by endBy. Later calls have no effect.
func (s *Stop) Begin(endBy time.Time) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun.Err() == nil {
		s.endBy = endBy
		s.begin()
	}
}

// RefuseNew makes the instance refuse requests that still arrive.
func (s *Stop) RefuseNew() { s.refusingNew.Store(true) }

// Abort ends the requests that are still in progress.
func (s *Stop) Abort() {
	s.init()
	s.abort()
}

// HasBegun reports whether the stop has begun.
func (s *Stop) HasBegun() bool {
	s.init()
	return s.begun.Err() != nil
}

// RefusesNew reports whether new requests are refused.
func (s *Stop) RefusesNew() bool { return s.refusingNew.Load() }

// IsOver reports whether all requests should have ended.
func (s *Stop) IsOver(now time.Time) bool { return s.HasBegun() && !now.Before(s.endBy) }

// IsAborted reports whether the remaining requests were ended.
func (s *Stop) IsAborted() bool {
	s.init()
	return s.aborted.Err() != nil
}

// OnAbort calls cancel when the remaining requests are ended. The function that it returns
// undoes this.
func (s *Stop) OnAbort(cancel func()) (undo func() bool) {
	s.init()
	return context.AfterFunc(s.aborted, cancel)
}

// LimitRead makes the body of a request arrive before the deadline, and before the end of a
// stop that begins meanwhile. The function that it returns must be called after the read. It
// removes the limit, or leaves it in force on the rest of the body if keep is true.
func (s *Stop) LimitRead(w http.ResponseWriter, deadline time.Time) (end func(keep bool)) {
	s.init()
	control := http.NewResponseController(w)
	// Errors of SetReadDeadline are ignored: only response writers of tests do not support
	// deadlines, and they need none.
	_ = control.SetReadDeadline(deadline)
	shortened := make(chan struct{})
	cancel := context.AfterFunc(s.begun, func() {
		defer close(shortened)
		if s.endBy.Before(deadline) {
			_ = control.SetReadDeadline(s.endBy)
		}
	})
	return func(keep bool) {
		if !cancel() {
			<-shortened
		}
		if !keep {
			_ = control.SetReadDeadline(time.Time{})
		}
	}
}
