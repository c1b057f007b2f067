package mcforward

import (
	"context"
	"net/http"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcquarantine"
)

const (
	// leastAttemptTime is the remaining time below which another attempt cannot complete.
	leastAttemptTime = 30 * time.Millisecond
	// suspectInterval is how often a request checks whether an identical request, which is
	// suspected of crashing endpoints and running, has ended.
	suspectInterval = 50 * time.Millisecond
)

// call is the state of one caller's request over all its attempts.
type call struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	start     time.Time
	deadline  time.Time
	wire      marigoldcroft.ForwardCall
	route     marigoldcroft.Route
	limits    marigoldcroft.CallerLimits
	version   int64
	rank      int
	team      marigoldcroft.RoutedTeam
	service   string
	// engine is zero when the service is not an inference engine.
	engine marigoldcroft.EngineFigures
	body   []byte
	// held is the number of body bytes that count against Forwarder.MaxBodies.
	held        int64
	fingerprint mcquarantine.Fingerprint
	class       marigoldcroft.Class

	// attempts counts the attempts that sent data to an endpoint, placements counts the
	// attempts submitted to the scheduler.
	attempts, placements int
	endpoints            []string
	exclude              []string
	// ran is true once an endpoint may have started to run the request.
	ran bool
	// ranBefore is the value of ran before the current attempt.
	ranBefore bool
	// began is true once a part of the response was sent to the caller.
	began        bool
	lastEvent    string
	lastNumber   int64
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
}

// forward makes attempts until one succeeds or no further attempt is allowed.
func (c *call) forward() ending {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	for {
		alone, refusal := c.enter(ctx)
		if refusal != nil {
			return c.giveUp(ctx, *refusal)
		}
		a := &attempt{call: c, alone: alone}
		c.ranBefore = c.ran
		answered, err := a.run(ctx)
		c.forwarder.Suspects.Leave(c.fingerprint, c.wire.ID)
		if err == nil {
			return *answered
		}
		if end, done := c.judge(ctx, a, err); done {
			return end
		}
	}
}

// enter asks the quarantine how the request may run, and waits while it is held back
// because an identical suspect is running.
func (c *call) enter(ctx context.Context) (alone bool, refusal *problem) {
	suspects := c.forwarder.Suspects
	for ctx.Err() == nil {
		switch suspects.Enter(time.Now(), c.fingerprint, c.wire.ID) {
		case mcquarantine.VerdictQuarantined:
			return false, &problem{status: http.StatusServiceUnavailable, reason: "this request crashed endpoints and is quarantined"}
		case mcquarantine.VerdictAlone:
			return true, nil
		case mcquarantine.VerdictRun:
			return false, nil
		}
		mcclock.Sleep(ctx, suspectInterval)
	}
	return false, &problem{status: http.StatusServiceUnavailable, reason: "the deadline passed while an identical request, suspected of crashing endpoints, was running"}
}

// judge decides what follows a failed attempt. It returns the result of the call and true,
// or false if another attempt is to be made.
func (c *call) judge(ctx context.Context, a *attempt, err error) (ending, bool) {
	kind := kindOf(err)
	retry, why := c.mayRetry(ctx, a, kind)
	c.forwarder.Logger.Info().Str("requestId", c.wire.ID).Str("endpoint", a.endpoint).Int("attempt", c.attempts).
		Str("kind", string(kind)).Err(err).Bool("mayHaveRun", c.ran).Bool("retried", retry).Str("decidedBy", why).
		Dur("leftMs", time.Until(c.deadline)).Msg("attemptFailed")
	if retry {
		return ending{}, false
	}
	if a.relayed != nil {
		// The endpoint's error response tells the caller more than one made here.
		return a.relayFailure(), true
	}
	return c.giveUp(ctx, problem{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: a.retryAfter}), true
}

// mayRetry reports whether another attempt is allowed after a failure of this kind, and
// which rule decided.
func (c *call) mayRetry(ctx context.Context, a *attempt, kind Kind) (bool, string) {
	now := time.Now()
	switch {
	case ctx.Err() != nil || kind == KindCaller || kind == KindDeadline:
		return false, "ended"
	case kind == KindRefused:
		return false, "scheduler"
	case c.deadline.Sub(now) < leastAttemptTime:
		return false, "timeLeft"
	case c.placements >= c.route.MaxAttempts()+maxUnsent:
		return false, "placements"
	case c.ran && !c.route.Repeatable():
		return false, "repeatRule"
	case c.began && (!c.route.Resumable() || c.lastEvent == ""):
		return false, "answerBegan"
	case !a.sent:
		return true, "notSent"
	case c.attempts >= c.route.MaxAttempts():
		return false, "maxAttempts"
	case !c.forwarder.Retries.Take(now, c.service):
		return false, "retryBudget"
	}
	return true, "repeatable"
}

// giveUp ends the call without a complete response. Only a request of which no part can
// have run gets a response that says so.
func (c *call) giveUp(ctx context.Context, p problem) ending {
	switch {
	case c.r.Context().Err() != nil:
		return ending{status: 0, outcome: outcomeLeft, reason: p.reason, abort: true}
	case c.began:
		return ending{status: http.StatusOK, outcome: outcomeBroken, reason: p.reason, abort: true}
	case c.ran && ctx.Err() != nil:
		return c.fail(http.StatusGatewayTimeout, "the deadline of the request passed")
	case c.ran:
		return c.fail(http.StatusBadGateway, p.reason)
	}
	return c.refuse(p)
}

// work describes the next attempt to the scheduler.
func (c *call) work(alone bool) marigoldcroft.Work {
	c.placements++
	work := marigoldcroft.Work{
		ID: marigoldcroft.NewStreamID(c.wire.ID+"/"+c.start.Format("05.000000"), c.placements), Team: c.team.Name, Model: c.service,
		Deadline: c.deadline, Exclude: c.exclude, Alone: alone, Objective: c.start.Add(c.route.Objective()),
		PromptTokens: 1,
	}
	if c.engine.PrefillTokensPerSecond > 0 {
		work.PromptTokens, work.OutputTokens = c.wire.PromptTokens, c.wire.OutputTokens
		work.LikelyOutputTokens = c.wire.LikelyOutputTokens
	}
	return work
}
