package mcorder

import (
	"context"
	"time"

	"marigoldcroft"
)

type (
	// LoadBudget is a token bucket of weight loads. It is stored in a lease object, so
	// that its rate holds across changes of the holder.
	LoadBudget struct {
		// Tokens is the number of loads that may start at the time Updated.
		Tokens  float64   `json:"tokens"`
		Updated time.Time `json:"updated"`
	}

	// LoadLimit is the deployment-wide limit of weight loads. All controllers draw on
	// the one object of the group named by LoadGroup.
	LoadLimit struct {
		PerSecond float64
		Burst     float64
	}
)

// LoadGroup is the name of the lease object that holds the deployment-wide allotment.
const LoadGroup = "weightLoads"

// maxClockSkew bounds how far the clocks of two holders may differ. A time of writing that
// is further ahead comes from a wrong clock and is not kept, as it would stop all loads
// until then.
const maxClockSkew = 5 * time.Second

// take takes one load from the bucket at the time now. A clock that is behind the one
// that wrote last adds nothing.
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

// DrawLoad takes one weight load from the deployment-wide allotment. It returns false
// when none is left or another controller came first. A draw of unknown outcome counts
// as taken in the store but is not used.
func (l *Lease) DrawLoad(ctx context.Context, limit LoadLimit) (bool, error) {
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
