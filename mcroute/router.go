// Package mcroute holds the routing table in force at an instance.
package mcroute

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

// Router holds the newest routing table that this process has seen. Exported fields are set
// before use. It is safe for concurrent use.
type Router struct {
	// Lease is how long the keys of a table are accepted without confirmation. A revoked
	// key is refused by every instance after this time, even by one that cannot reach the
	// store. SetLease replaces it.
	Lease  time.Duration
	Logger zerolog.Logger
	// VerifyFirst makes Verified report false until MarkVerified is called.
	VerifyFirst bool
	// Changed is called with each newer table before it is in force, while mu is held, so that
	// requests on it find what Changed sets. It may be nil.
	Changed func(table *marigoldcroft.RoutingTable)

	// lease is the value that SetLease was called with last, or 0.
	lease atomic.Int64
	table atomic.Pointer[marigoldcroft.RoutingTable]
	// confirmedAt is the time since boot, in ns, at which the table was last known to be
	// the newest.
	confirmedAt atomic.Int64
	verified    atomic.Bool
	mu          sync.Mutex
}

// Table returns the table in force, or nil while there is none. Its version never decreases
// while the process runs.
func (r *Router) Table() *marigoldcroft.RoutingTable { return r.table.Load() }

// Update puts the table in force if it is newer than the current one, and reports whether it
// did. source names the origin of the table in the log.
func (r *Router) Update(table *marigoldcroft.RoutingTable, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.table.Load()
	if held != nil && table.Version() <= held.Version() {
		return false
	}
	if r.Changed != nil {
		r.Changed(table)
	}
	r.table.Store(table)
	event := r.Logger.Info().Int64("version", table.Version()).Str("source", source)
	if held != nil {
		event = event.Int64("previous", held.Version())
	}
	event.Msg("routingApplied")
	return true
}

// Confirm records that the version was the newest one at the given time, counted from boot.
// It has no effect while an older version is in force.
func (r *Router) Confirm(version int64, at time.Duration) {
	held := r.table.Load()
	if held == nil || held.Version() < version {
		return
	}
	for {
		previous := r.confirmedAt.Load()
		if int64(at) <= previous || r.confirmedAt.CompareAndSwap(previous, int64(at)) {
			return
		}
	}
}

// Age returns the time since the table was last known to be the newest, or false if it
// never was.
func (r *Router) Age() (time.Duration, bool) {
	at := r.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return mcclock.Now() - time.Duration(at), true
}

// KeysTrusted reports whether the keys of the table may still be accepted.
func (r *Router) KeysTrusted() bool {
	lease := r.Lease
	if changed := r.lease.Load(); changed > 0 {
		lease = time.Duration(changed)
	}
	age, known := r.Age()
	return known && age < lease
}

// Verified reports whether the table may be served by. The first table of a process comes from the
// store, which may have been restored from an older copy, and has to be compared with those of peers.
func (r *Router) Verified() bool { return !r.VerifyFirst || r.verified.Load() }

// MarkVerified records that the table was compared with those of peers.
func (r *Router) MarkVerified() { r.verified.Store(true) }

// SetLease replaces Lease while requests are served.
func (r *Router) SetLease(lease time.Duration) { r.lease.Store(int64(lease)) }
