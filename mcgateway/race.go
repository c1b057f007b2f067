package mcgateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// A first token is late, which triggers a hedge, after hedgeFactor times the
	// predicted time but not before hedgeFloor, which is above the timing noise of a
	// loaded host.
	hedgeFactor = 3
	hedgeFloor  = 50 * time.Millisecond
)

// attemptEnd is the end of one attempt of a race.
type attemptEnd struct {
	attempt *attempt
	err     error
}

// errHedged ends the attempt of a hedged pair that was not the first to produce a token.
var errHedged = errors.New("another attempt answered first")

// race runs the attempt and, if its first token is late, a hedge on another endpoint. It
// returns the end of the attempt whose answer was delivered, or of the one that failed
// last. It does not wait for the engine of the losing attempt.
func (r *run) race(ctx context.Context, first *attempt) attemptEnd {
	ends := make(chan attemptEnd, 2)
	running := 0
	start := func(a *attempt) {
		running++
		a.ctx, a.cancel = context.WithCancelCause(ctx)
		r.addRacing(a)
		r.gateway.active.Add(1)
		go func() {
			defer r.gateway.active.Done()
			ends <- attemptEnd{a, a.serveSafely()}
		}()
	}
	start(first)
	var hedgeDue <-chan time.Time
	var dispatched marigoldcroft.Decision
	var last attemptEnd
	for running > 0 {
		select {
		case dispatched = <-first.dispatched:
			r.class = dispatched.Class
			hedgeDue = r.hedgeTimer(first, dispatched)
		case <-hedgeDue:
			if second := r.hedge(first, dispatched.Endpoint); second != nil {
				start(second)
			}
		case e := <-ends:
			running--
			r.recordEnd(e)
			last = e
			if r.won(e.attempt) {
				return last
			}
		}
	}
	return last
}

// hedgeTimer returns a channel that fires when the first token is late, or nil if the
// work must not be hedged: only short, interactive, idempotent work that is no crash
// suspect may be.
func (r *run) hedgeTimer(a *attempt, decision marigoldcroft.Decision) <-chan time.Time {
	eligible := decision.PredictedFirstToken > 0 && decision.Class == marigoldcroft.ClassShort &&
		r.request.template.Urgency() == marigoldcroft.UrgencyInteractive &&
		r.request.idempotent() && !a.isolated && r.attempts < maxAttempts
	if !eligible {
		return nil
	}
	return time.After(max(hedgeFloor, hedgeFactor*decision.PredictedFirstToken))
}

// hedge returns a second attempt on another endpoint, or nil if the first one has
// produced a token, its endpoint may have crashed, the request or a message of it is a crash
// suspect, no endpoint is free now or the retry budget is used up.
func (r *run) hedge(first *attempt, endpoint string) *attempt {
	if r.won(first) || r.isBroken(first) || r.isSuspect() || r.nearQuarantine() {
		return nil
	}
	second := r.newAttempt(false)
	second.exclude = append(second.exclude, endpoint)
	if !second.submit() {
		return nil
	}
	if second.decision.Action != marigoldcroft.ActionDispatch || !r.gateway.retries.TryConsume(time.Now(), r.request.template.Model()) {
		second.release()
		return nil
	}
	return second
}

// addRacing adds an attempt to those that compete for the first token.
func (r *run) addRacing(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.racing = append(r.racing, a)
}

// claim makes the attempt the one whose answer is delivered and cancels the other one. It
// fails if the other one was first or the scheduler recalled this one.
func (r *run) claim(a *attempt) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.recalled {
		return errRecalled
	}
	if !slices.Contains(r.racing, a) {
		return errHedged
	}
	if r.winner == nil {
		r.winner = a
	}
	if r.winner != a {
		return errHedged
	}
	for _, other := range r.racing {
		if other != a {
			other.cancel(errHedged)
		}
	}
	return nil
}

func (r *run) won(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == a
}

// isBroken reports whether the stream of the attempt broke and is not resumed.
func (r *run) isBroken(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.streamBroken
}

// reset starts a new race, whose answer must first repeat the text kept in delivered.
// Attempts of the previous race can no longer claim delivery.
func (r *run) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.winner, r.racing = nil, nil
	r.replay = r.delivered.String()
}
