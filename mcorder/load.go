package mcorder

import (
	"context"
	"time"

	"marigoldcroft"
)

type (
	// LoadBudget is a token bucket for weight loads. It is stored in a lease object, so
	// that its rate is kept when the holder changes.
	LoadBudget struct {
		// Tokens is the number of loads that could start at the time Updated.
		Tokens  float64   `json:"tokens"`
		Updated time.Time `json:"updated"`
	}

	// LoadLimit is the deployment-wide rate limit on weight loads. All controllers take
	// their loads from one object, that of the group LoadGroup.
	LoadLimit struct {
		PerSecond float64
		Burst     float64
	}
)

// LoadGroup is the group whose lease object holds the deployment-wide load budget.
const LoadGroup = "weightLoads"

// maxClockSkew is the largest expected difference between the clocks of two holders. An
// update time further in the future comes from a wrong clock and is discarded, as
// keeping it would stop all loads until then.
const maxClockSkew = 5 * time.Second

// take takes one load from the bucket at the time now. If the local clock is behind the
// clock of the last writer, no tokens are added.
func (b LoadBudget) take(now time.Time, limit LoadLimit) (LoadBudget, bool) {
	tokens := limit.Burst
	if !b.Updated.IsZero() {
		elapsed := max(now.Sub(b.Updated).Seconds(), 0)
		tokens = min(b.Tokens+elapsed*limit.PerSecond, limit.Burst)
	}
	if tokens < 1 {
		return b, false
	}
	updated := now
	if ahead := b.Updated.Sub(now); ahead > 0 && ahead <= maxClockSkew {
		updated = b.Updated
	}
	return LoadBudget{Tokens: tokens - 1, Updated: updated.UTC().Round(0)}, true
}

// TakeLoad takes one weight load from the deployment-wide budget. It returns false if
// none is left or another controller wrote first. If the outcome of the write is
// unknown, the load may be deducted in the store, but it is not used.
func (l *Lease) TakeLoad(ctx context.Context, limit LoadLimit) (bool, error) {
	record, version, err := l.read(ctx)
	if err != nil {
		return false, err
	}
	next, ok := record.Loads.take(time.Now(), limit)
	if !ok {
		return false, nil
	}
	l.observe(record, version)
	err = l.write(ctx, version, func(r *Record) { r.Loads = next })
	if marigoldcroft.FailureKind[Kind](err) == KindUnavailable {
		return false, nil
	}
	return err == nil, err
}
