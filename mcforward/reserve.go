package mcforward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
)

const (
	// reservationTTL is how long a reservation lasts without renewal. It limits how long
	// the memory stays reserved after an instance dies.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval allows two failed renewals before a reservation expires.
	renewInterval = time.Second
	// reservationCallTimeout limits one call to an engine to reserve or release memory.
	reservationCallTimeout = 400 * time.Millisecond
)

// sendWithReservations reserves memory on the helpers that hold a part of the prompt, sends
// the request, and releases the memory when the attempt has ended.
func (a *attempt) sendWithReservations(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) (*callResult, error) {
	if a.decision.HolderCount == 0 {
		return a.send(ctx, endpoint, id)
	}
	// The release must not delay the answer if a helper does not respond.
	defer func() { go a.releaseAll() }()
	for _, name := range a.decision.Helpers[:a.decision.HolderCount] {
		if err := a.reserve(ctx, name); err != nil {
			return nil, err
		}
	}
	renewCtx, stop := context.WithCancel(ctx)
	renewDone := make(chan struct{})
	go func() {
		defer close(renewDone)
		a.renew(renewCtx)
	}()
	result, err := a.send(ctx, endpoint, id)
	stop()
	// A renewal in progress must not arrive after the release.
	<-renewDone
	return result, err
}

// reserve reserves memory on one helper. If it fails, nothing of the request has been sent.
func (a *attempt) reserve(ctx context.Context, name string) error {
	operation := "reserve memory at " + name
	a.call.forwarder.awaitEvacuations(ctx)
	endpoint, ok := a.call.forwarder.Fleet.Endpoint(name)
	if !ok {
		a.call.excluded = append(a.call.excluded, name)
		return a.leftError(name, KindUnreachable)
	}
	if !a.mayHelp(name) {
		a.completion.NotSent = true
		return failure(operation, KindLimited, errors.New("the endpoint has become cold"))
	}
	if err := a.checkRegions(endpoint); err != nil {
		return err
	}
	// The engine may carry out a reservation whose response is lost, so it is listed first
	// and released with the others.
	helper := marigoldcroft.ForwardHelper{Address: endpoint.Address(), Reservation: uuid.NewString()}
	a.reservations = append(a.reservations, helper)
	if err := a.requestReservation(ctx, helper, reservationTTL); err != nil {
		a.call.excluded = append(a.call.excluded, name)
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			now := time.Now()
			a.call.forwarder.health.markDown(now, name)
			a.call.forwarder.health.recordSilent(now, endpoint)
		}
		return failure(operation, KindNotReserved, err)
	}
	return nil
}

func (a *attempt) requestReservation(ctx context.Context, helper marigoldcroft.ForwardHelper, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	return a.call.forwarder.Reservations.Reserve(ctx, helper.Address, helper.Reservation, a.decision.KVTokensPerHolder, hold)
}

// renew extends the reservations every renewInterval until ctx ends.
func (a *attempt) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, helper := range a.reservations {
			hold, due := a.renewal(i)
			if !due {
				continue
			}
			if err := a.requestReservation(ctx, helper, hold); err != nil && ctx.Err() == nil {
				a.call.forwarder.Logger.Warn().Str("requestId", a.call.request.ID).Str("address", helper.Address).Err(err).Msg("reservationNotRenewed")
			}
		}
	}
}

// releaseAll releases the reservations. If a release fails, the memory is freed when the
// reservation expires.
func (a *attempt) releaseAll() {
	for i, helper := range a.reservations {
		if !a.mayRelease(i) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), reservationCallTimeout)
		if err := a.call.forwarder.Reservations.Release(ctx, helper.Address, helper.Reservation); err != nil {
			a.call.forwarder.Logger.Warn().Str("requestId", a.call.request.ID).Str("address", helper.Address).Err(err).Msg("reservationNotReleased")
		}
		cancel()
	}
}
