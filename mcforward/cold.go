package mcforward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

// grantLifetime is how long after its grant a request may be sent to a cold endpoint. It bounds the
// requests that instances which were held up send in the same second as later ones.
const grantLifetime = 250 * time.Millisecond

// The results of asking for a grant, as metric labels.
const (
	grantGiven   = "granted"
	grantRefused = "refused"
	grantLapsed  = "lapsed"
)

func (f *Forwarder) countColdGrant(granted bool) {
	result := grantRefused
	if granted {
		result = grantGiven
	}
	f.Metrics.ColdGrants.WithLabelValues(result).Inc()
}

// checkCold returns an error if an endpoint of the attempt has become cold since the attempt was
// placed, or if its grant is too old. Nothing was sent to the endpoint then; the request is placed
// once more.
func (a *attempt) checkCold(now time.Time) error {
	f := a.call.forwarder
	if f.Limits == nil {
		return nil
	}
	if f.Fleet.ColdPhase(a.endpoint).Limits(now) && now.Sub(a.grantedAt) > grantLifetime {
		a.completion.NotSent = true
		f.Metrics.ColdGrants.WithLabelValues(grantLapsed).Inc()
		return failure("dispatch to "+a.endpoint, KindLimited, errors.New("the endpoint is cold and the request has no valid grant"))
	}
	for _, name := range a.decision.Helpers[:a.decision.HolderCount] {
		if f.Fleet.ColdPhase(name).Limits(now) {
			a.completion.NotSent = true
			return failure("dispatch to "+a.endpoint, KindLimited, errors.Newf("%s, which holds a part of the prompt, has become cold", name))
		}
	}
	return nil
}

// mayHelp reports whether the endpoint may prefill a part of a prompt. A cold one may not, as what
// the engine that runs the request sends there would need a grant as well.
func (a *attempt) mayHelp(name string) bool {
	f := a.call.forwarder
	return f.Limits == nil || !f.Fleet.ColdPhase(name).Limits(time.Now())
}

// acquireCheck waits for a grant to send a health check to the endpoint if it is cold. It returns false
// if ctx ends before that.
func (f *Forwarder) acquireCheck(ctx context.Context, endpoint marigoldcroft.Endpoint) bool {
	if f.Limits == nil {
		return true
	}
	for ctx.Err() == nil {
		if !f.Fleet.ColdPhase(endpoint.Name()).Limits(time.Now()) {
			return true
		}
		granted, wait := f.Limits.Acquire(ctx, endpoint.Name())
		f.countColdGrant(granted)
		if granted {
			return true
		}
		mcclock.Sleep(ctx, wait)
	}
	return false
}
