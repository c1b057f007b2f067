package mcforward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// evacuatedCallTime is how long after the evacuation of a data centre became known calls about memory
// that is reserved there may still be made. It leaves the larger part of the 5 s after which nothing may
// be sent for the way of the evacuation to this instance.
const evacuatedCallTime = 1500 * time.Millisecond

// awaitEvacuations waits until the evacuations that are known are current.
func (f *Forwarder) awaitEvacuations(ctx context.Context) {
	if f.AwaitEvacuations != nil {
		f.AwaitEvacuations(ctx)
	}
}

// CloseUnused closes the idle connections that have expired and those to endpoints that get no new
// work.
func (f *Forwarder) CloseUnused(now time.Time) {
	f.init()
	f.pool.closeExpired(now, func(endpoint string) bool {
		_, wanted := f.Fleet.Endpoint(endpoint)
		return wanted
	})
}

// checkBeforeSend returns an error if the endpoint may no longer get the request that was placed there,
// or a helper may not do its part. It is called immediately before the request is written.
func (a *attempt) checkBeforeSend(ctx context.Context) error {
	f := a.call.forwarder
	f.awaitEvacuations(ctx)
	if err := a.checkUsable(); err != nil {
		return err
	}
	for _, name := range a.decision.Helpers[:len(a.reservations)] {
		if _, ok := f.Fleet.Endpoint(name); !ok {
			a.completion.NotSent = true
			a.call.excluded = append(a.call.excluded, name)
			return a.leftError(name, KindNotReserved)
		}
	}
	return nil
}

// leftError returns the error of an attempt that was not sent because the endpoint, or a helper, gets no
// new work. Kind applies if the reason is not an evacuation.
func (a *attempt) leftError(name string, kind Kind) error {
	if _, evacuated := a.call.forwarder.Fleet.EvacuatedSince(name); evacuated {
		return failure("dispatch to "+name, KindEvacuated, nil)
	}
	return failure("dispatch to "+name, kind, errors.New("the endpoint has left"))
}

// renewal returns for how long the memory of a reservation is to be kept by the next renewal, and false
// if there is none. Work that runs ends where it runs: the last renewal in a data centre that is
// evacuated keeps the memory until the deadline, as nothing is sent there afterwards.
func (a *attempt) renewal(reservation int) (hold time.Duration, due bool) {
	since, evacuated := a.call.forwarder.Fleet.EvacuatedSince(a.decision.Helpers[reservation])
	switch {
	case !evacuated:
		return reservationTTL, true
	case a.lastRenewed[reservation] || time.Since(since) > evacuatedCallTime:
		return 0, false
	}
	if a.lastRenewed == nil {
		a.lastRenewed = make(map[int]bool)
	}
	a.lastRenewed[reservation] = true
	return max(reservationTTL, time.Until(a.call.deadline)), true
}

// mayRelease reports whether the helper of a reservation may be told to release its memory. Otherwise
// the reservation ends by itself.
func (a *attempt) mayRelease(reservation int) bool {
	since, evacuated := a.call.forwarder.Fleet.EvacuatedSince(a.decision.Helpers[reservation])
	return !evacuated || time.Since(since) < evacuatedCallTime
}
