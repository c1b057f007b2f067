// Package mcstop holds the state of a planned stop, which both interfaces to callers share.
package mcstop

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// restTime limits the time for the rest of a request that is not needed: it was refused, or it would
// be, once new requests are refused.
const restTime = time.Second

// Stop is the state of a planned stop. A stop has three phases: Begin makes the instance
// unready, but what still arrives is served if it can end in time; RefuseNew refuses new
// requests; AbortNewest and Abort end the requests that remain. The zero value is an instance
// that is not stopping.
type Stop struct {
	once           sync.Once
	begun, refused context.Context
	begin, refuse  context.CancelFunc
	aborting       atomic.Bool
	// endBy is set before begun ends and never changes after that.
	endBy time.Time

	mu sync.Mutex
	// running holds the functions that end the requests in progress, oldest first.
	running list.List
	// abortAll is true once all requests in progress were ended, as are those that register
	// later.
	abortAll bool
	// ending is the number of requests that were ended and are still in progress.
	ending int
}

func (s *Stop) init() {
	s.once.Do(func() {
		s.begun, s.begin = context.WithCancel(context.Background())
		s.refused, s.refuse = context.WithCancel(context.Background())
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
func (s *Stop) RefuseNew() {
	s.init()
	s.refuse()
}

// Abort ends the requests that are still in progress.
func (s *Stop) Abort() {
	s.mu.Lock()
	s.abortAll = true
	n := s.running.Len()
	s.mu.Unlock()
	s.AbortNewest(n)
}

// AbortNewest ends n of the requests in progress, those that began last, and returns how many
// there were to end.
func (s *Stop) AbortNewest(n int) int {
	s.aborting.Store(true)
	s.mu.Lock()
	var cancels []func()
	for len(cancels) < n && s.running.Len() > 0 {
		cancels = append(cancels, s.running.Remove(s.running.Back()).(func()))
	}
	s.ending += len(cancels)
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return len(cancels)
}

// Ending returns the number of requests that were ended by an abort and are still in progress.
func (s *Stop) Ending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// HasBegun reports whether the stop has begun.
func (s *Stop) HasBegun() bool {
	s.init()
	return s.begun.Err() != nil
}

// RefusesNew reports whether new requests are refused.
func (s *Stop) RefusesNew() bool {
	s.init()
	return s.refused.Err() != nil
}

// IsOver reports whether all requests should have ended.
func (s *Stop) IsOver(now time.Time) bool { return s.HasBegun() && !now.Before(s.endBy) }

// IsAborted reports whether the abort of the remaining requests has begun.
func (s *Stop) IsAborted() bool { return s.aborting.Load() }

// OnAbort calls cancel when the request is ended by an abort. The function that it returns must
// be called at the end of the request.
func (s *Stop) OnAbort(cancel func()) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.running.PushBack(cancel)
	if s.abortAll {
		s.running.Remove(e)
		s.ending++
		cancel()
	}
	return func() { s.end(e) }
}

// end removes a request that has ended.
func (s *Stop) end(e *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.running.Len()
	if s.running.Remove(e); s.running.Len() == n {
		// An abort has removed it.
		s.ending--
	}
}

// LimitRead makes the body of a request arrive before the deadline, before the end of a stop that
// begins meanwhile, and within restTime once new requests are refused. The function that it
// returns must be called after the read. It removes the limit, or leaves it in force on the rest
// of the body if keep is true.
func (s *Stop) LimitRead(w http.ResponseWriter, deadline time.Time) (end func(keep bool)) {
	s.init()
	control := http.NewResponseController(w)
	// Errors of SetReadDeadline are ignored: only response writers of tests do not support
	// deadlines, and they need none.
	_ = control.SetReadDeadline(deadline)
	var mu sync.Mutex
	shorten := func(limit time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if limit.Before(deadline) {
			deadline = limit
			_ = control.SetReadDeadline(limit)
		}
	}
	endBegun := after(s.begun, func() { shorten(s.endBy) })
	endRefused := after(s.refused, func() { shorten(time.Now().Add(restTime)) })
	return func(keep bool) {
		endBegun()
		endRefused()
		if !keep {
			_ = control.SetReadDeadline(time.Time{})
		}
	}
}

// after calls f when ctx ends, and returns a function after which f is not called and not running.
func after(ctx context.Context, f func()) (undo func()) {
	ended := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(ended)
		f()
	})
	return func() {
		if !cancel() {
			<-ended
		}
	}
}
