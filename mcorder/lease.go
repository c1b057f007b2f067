package mcorder

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

const (
	// LeaseDuration is how long a lease is valid. It counts from the start of the write
	// that acquired or renewed the lease.
	LeaseDuration = 15 * time.Second
	// renewInterval is the time between renewals. It allows for two failed renewals
	// within LeaseDuration.
	renewInterval = 4 * time.Second
	// ClockDrift is the largest assumed difference between two monotonic clocks over
	// one lease. 500 ms in 15 s is 3%, far above the error of a quartz clock.
	ClockDrift = 500 * time.Millisecond
	// OrderTimeout is the time limit for sending one order and receiving its response.
	OrderTimeout = 3 * time.Second
	// callTimeout is the time limit of one store call.
	callTimeout = 2 * time.Second

	formatVersion = 1
	// epochsPerEra is the number of fencing tokens of one era of the store. The first token of an
	// era is above all that were given out before the restore, also those that were lost.
	epochsPerEra = 1 << 32
)

type (
	// Record is the stored form of a lease.
	Record struct {
		Version int `json:"version"`
		// Epoch is the fencing token. It grows with each change of the holder.
		Epoch uint64 `json:"epoch"`
		// Owner identifies the holder as instance/incarnation. It is empty after a
		// release.
		Owner string `json:"owner,omitempty"`
		// Renewal grows with each write of the lease.
		Renewal uint64 `json:"renewal"`
		// Loads is the deployment-wide budget of weight loads; see LoadBudget.
		Loads LoadBudget `json:"loads"`
		// Era is the era of the store in which the lease was last acquired or renewed. A record of
		// an earlier era was restored from a copy, and a later holder may be unknown.
		Era uint64 `json:"era,omitempty"`
	}

	// Lease acquires and keeps the lease of one group. Set the exported fields before
	// Run.
	Lease struct {
		Store    marigoldcroft.ObjectStore
		Identity marigoldcroft.Identity
		Group    string
		// Gone reports whether a process incarnation has ended. Its lease is then taken
		// without waiting for it to expire. Gone may be nil; fencing does not depend on
		// it.
		Gone func(owner string) bool
		// Eligible reports whether this instance may acquire the lease now; nil means
		// always.
		Eligible func() bool
		Logger   zerolog.Logger

		mu      sync.Mutex
		record  Record
		version marigoldcroft.Version
		// firstSeenAt is the monotonic time at which this instance first read the
		// version.
		firstSeenAt time.Time
		// validUntil is the end of this instance's own lease on the monotonic clock. It
		// is zero while the lease is not held.
		validUntil time.Time
		// acquiredAt is the monotonic time at which this instance acquired the lease.
		acquiredAt time.Time
		// hadPreviousHolder is true if the lease was held before, so that orders of an
		// earlier holder may still arrive.
		hadPreviousHolder bool
	}
)

func (l *Lease) key() string { return "leases/" + l.Group }

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
			l.Logger.Warn().Err(err).Str("group", l.Group).Msg("leaseUnconfirmed")
		}
		mcclock.Sleep(ctx, renewInterval)
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = l.Release(release)
	return ctx.Err()
}

// AcquireOrRenew reads the lease once, and acquires or renews it if allowed.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	record, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	era := marigoldcroft.StoreEra(l.Store)
	l.observe(record, version)
	self := l.Identity.Owner()
	switch {
	case record.Era != era:
		// The lease may have had a later holder, which has it until it expires.
		if !l.unchangedForALease() || l.Eligible != nil && !l.Eligible() {
			return nil
		}
		return l.write(ctx, version, func(r *Record) { r.Owner, r.Epoch, r.Era = self, max(r.Epoch+1, era*epochsPerEra), era })
	case record.Owner == self:
		return l.write(ctx, version, func(*Record) {})
	case l.Eligible != nil && !l.Eligible():
		return nil
	case record.Owner == "" || l.expired(record):
		return l.write(ctx, version, func(r *Record) { r.Owner, r.Epoch = self, r.Epoch+1 })
	default:
		return nil
	}
}

// observe records when a version is seen for the first time.
func (l *Lease) observe(record Record, version marigoldcroft.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != l.version || l.firstSeenAt.IsZero() {
		l.record, l.version, l.firstSeenAt = record, version, time.Now()
	}
	if record.Owner != l.Identity.Owner() {
		l.validUntil = time.Time{}
	}
}

// expired reports whether the holder is gone, or has not renewed for a whole lease as
// measured by this instance's clock. Clocks of different instances are never compared.
func (l *Lease) expired(record Record) bool {
	if l.Gone != nil && l.Gone(record.Owner) {
		return true
	}
	return l.unchangedForALease()
}

// unchangedForALease reports whether this instance has seen the same version for a whole lease.
func (l *Lease) unchangedForALease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.firstSeenAt) > LeaseDuration+ClockDrift
}

func (l *Lease) read(ctx context.Context) (Record, marigoldcroft.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := l.Store.Get(ctx, l.key())
	if mcstore.IsNotFound(err) {
		return Record{Version: formatVersion}, "", nil
	}
	if err != nil {
		return Record{}, "", marigoldcroft.NewFailure("read lease "+l.Group, KindUnavailable, err)
	}
	var record Record
	d := json.NewDecoder(bytes.NewReader(object.Value()))
	d.DisallowUnknownFields()
	if err := d.Decode(&record); err != nil || record.Version != formatVersion {
		return Record{}, "", marigoldcroft.NewFailure("read lease "+l.Group, KindCorrupt, err)
	}
	return record, object.Version(), nil
}

// write replaces the lease at the version by the changed record. If the response is
// lost, it reads the object back and compares the write id. Validity counts from before
// the write was sent, so it never exceeds LeaseDuration.
func (l *Lease) write(ctx context.Context, version marigoldcroft.Version, change func(*Record)) error {
	start := time.Now()
	l.mu.Lock()
	before := l.record
	l.mu.Unlock()
	next := before
	change(&next)
	next.Version, next.Renewal = formatVersion, before.Renewal+1
	raw, err := json.Marshal(next)
	if err != nil {
		return err
	}
	writeID := uuid.NewString()
	written, err := l.put(ctx, raw, version, writeID)
	if err != nil {
		object, readErr := l.get(ctx)
		if readErr != nil || object.WriteID() != writeID {
			return marigoldcroft.NewFailure("write lease "+l.Group, KindUnavailable, err)
		}
		written = object.Version()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.version, l.firstSeenAt = next, written, start
	if next.Owner != l.Identity.Owner() {
		l.validUntil = time.Time{}
		return nil
	}
	if next.Epoch != before.Epoch {
		l.acquiredAt, l.hadPreviousHolder = time.Now(), before.Epoch > 0 || next.Era > 0
		l.Logger.Info().Str("group", l.Group).Uint64("epoch", next.Epoch).Msg("leaseTaken")
	}
	l.validUntil = start.Add(LeaseDuration)
	return nil
}

func (l *Lease) put(ctx context.Context, raw []byte, version marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.Store.Put(ctx, l.key(), raw, version, writeID)
}

func (l *Lease) get(ctx context.Context) (marigoldcroft.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.Store.Get(ctx, l.key())
}

// Release gives up the lease if this instance holds it.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held := l.record.Owner == l.Identity.Owner()
	version := l.version
	l.validUntil = time.Time{}
	l.mu.Unlock()
	if !held {
		return nil
	}
	return l.write(ctx, version, func(r *Record) { r.Owner = "" })
}

// Epoch returns the fencing token, or an error of kind KindNotLeader while the lease is
// not held.
func (l *Lease) Epoch() (uint64, error) {
	epoch, _, err := l.remaining()
	return epoch, err
}

// remaining returns the epoch and the time left on this instance's lease.
func (l *Lease) remaining() (uint64, time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := time.Until(l.validUntil)
	if l.validUntil.IsZero() || left <= 0 {
		return 0, 0, marigoldcroft.NewFailure("lease "+l.Group, KindNotLeader, nil)
	}
	return l.record.Epoch, left, nil
}

// Permit reports whether an order may be sent now, and until when it may take effect.
// If the endpoint checks fencing tokens, it is enough that the lease is held. If it
// does not, the lease must be valid for a whole order deadline and the clock drift, and
// a new holder first waits out the previous holder's lease, the clock drift and the
// deadline of its last order.
func (l *Lease) Permit(checksFencing bool) (epoch uint64, until time.Time, err error) {
	epoch, left, err := l.remaining()
	if err != nil {
		return 0, time.Time{}, err
	}
	now := time.Now()
	if checksFencing {
		return epoch, now.Add(OrderTimeout), nil
	}
	if left < OrderTimeout+ClockDrift {
		return 0, time.Time{}, marigoldcroft.NewFailure("lease "+l.Group, KindNotLeader,
			errors.Newf("%v left on the lease, less than one order needs", left))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.acquiredAt.Add(LeaseDuration + ClockDrift + OrderTimeout).Sub(now)
	if l.hadPreviousHolder && wait > 0 {
		return 0, time.Time{}, marigoldcroft.NewFailure("lease "+l.Group, KindNotLeader,
			errors.Newf("orders of the previous holder may still arrive for %v", wait))
	}
	return epoch, now.Add(OrderTimeout), nil
}
