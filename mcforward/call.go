package mcforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcsocket"
)

const (
	// minAttemptTime is the time before the deadline below which no further attempt is
	// made, as it could not complete.
	minAttemptTime = 30 * time.Millisecond
	// suspectPollInterval is how often a suspect checks whether it may run, while it waits
	// for the end of an identical request.
	suspectPollInterval = 50 * time.Millisecond
	// maxLoggedParts limits the parts in a log line. The last ones are logged, as the first ones
	// are common to most requests.
	maxLoggedParts = 32
)

// call is the state of one caller's request over all its attempts.
type call struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	start     time.Time
	deadline  time.Time
	request   marigoldcroft.ForwardCall
	route     marigoldcroft.Route
	limits    marigoldcroft.CallerLimits
	version   int64
	rank      int
	team      marigoldcroft.RoutedTeam
	// regions are the home regions that route and team have in common; nil means any region. They are
	// those of one routing table for all attempts.
	regions []string
	service string
	// engine is zero when the service is not an inference engine.
	engine      marigoldcroft.EnginePerformance
	body        []byte
	fingerprint mcquarantine.Fingerprint
	// parts are the fingerprints of what the request shares with others: the first requestParts of
	// them are those of mcquarantine.RequestParts, the rest those of mcquarantine.PartFingerprints
	// for request.SharedParts.
	parts        []mcquarantine.Fingerprint
	requestParts int
	class        marigoldcroft.Class

	// attempts counts the attempts that sent data to an endpoint, placements counts the
	// attempts submitted to the scheduler.
	attempts, placements int
	triedEndpoints       []string
	excluded             []string
	// unplaced is true if the scheduler refused the last placement for want of an endpoint.
	unplaced bool
	// mayHaveRun is true once an endpoint may have started to run the request.
	mayHaveRun bool
	// mayHaveRunBefore is the value of mayHaveRun before the current attempt.
	mayHaveRunBefore bool
	// responseStarted is true once a part of the response was sent to the caller.
	responseStarted bool
	lastEventID     string
	lastEventNumber int64
	relayedEvents   int
	firstOutputAt   time.Time
	lastOutputAt    time.Time
	longestPause    time.Duration
}

// forward makes attempts until one succeeds or no further attempt is allowed.
func (c *call) forward() callResult {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer c.forwarder.stop.OnAbort(cancel)()
	mcsocket.LimitWrite(c.w, c.deadline)
	for {
		isolate, refusal := c.checkQuarantine(ctx)
		if refusal != nil {
			return c.giveUp(ctx, *refusal)
		}
		a := &attempt{call: c, isolate: isolate}
		c.mayHaveRunBefore = c.mayHaveRun
		result, err := a.run(ctx)
		c.forwarder.Quarantine.Release(c.fingerprint, c.request.ID)
		if err == nil {
			return *result
		}
		if result, done := c.handleFailure(ctx, a, err); done {
			return result
		}
	}
}

// checkQuarantine asks the quarantine whether and how the request may run. It waits while an
// identical request, suspected of crashing endpoints, is running. isolate is true if the request may
// run only on an endpoint where no other suspect runs.
func (c *call) checkQuarantine(ctx context.Context) (isolate bool, refusal *problem) {
	quarantine := c.forwarder.Quarantine
	if err := c.quarantinedPart(); err != nil {
		return false, &problem{status: http.StatusServiceUnavailable, reason: err.Error()}
	}
	for ctx.Err() == nil {
		switch quarantine.Acquire(time.Now(), c.fingerprint, c.request.ID) {
		case mcquarantine.VerdictQuarantined:
			return false, &problem{status: http.StatusServiceUnavailable, reason: "this request crashed endpoints and is quarantined"}
		case mcquarantine.VerdictExclusive:
			return true, nil
		case mcquarantine.VerdictRun:
			return false, nil
		}
		mcclock.Sleep(ctx, suspectPollInterval)
	}
	return false, &problem{status: http.StatusServiceUnavailable, reason: "the request's time ended while its twin ran under suspicion of a crash"}
}

// mustIsolate reports whether the request became a crash suspect, which the attempt does not allow
// for, or was quarantined.
func (c *call) mustIsolate(a *attempt) bool {
	verdict := c.forwarder.Quarantine.Check(time.Now(), c.fingerprint)
	return verdict == mcquarantine.VerdictQuarantined || verdict == mcquarantine.VerdictExclusive && !a.isolate
}

// quarantinedPart returns an error if the prompt contains a quarantined part.
func (c *call) quarantinedPart() error {
	part, quarantined := c.forwarder.Quarantine.QuarantinedPart(time.Now(), c.parts)
	if !quarantined {
		return nil
	}
	c.forwarder.Metrics.Refusals.WithLabelValues(string(KindQuarantined)).Inc()
	i := slices.Index(c.parts, part) - c.requestParts
	if i < 0 {
		return failure("quarantine", KindQuarantined, errors.New("requests with this method, path and body crashed endpoints"))
	}
	return failure("quarantine", KindQuarantined, errors.Newf("part %s of the prompt crashed endpoints", c.request.SharedParts[i%len(c.request.SharedParts)]))
}

// handleFailure decides what follows a failed attempt. It returns the result of the call
// and true, or false if another attempt is to be made.
func (c *call) handleFailure(ctx context.Context, a *attempt, err error) (callResult, bool) {
	kind := kindOf(err)
	retry, rule := c.mayRetry(ctx, a, kind)
	c.forwarder.Logger.Info().Str("requestId", c.request.ID).Str("endpoint", a.endpoint).Int("attempt", c.attempts).
		Strs("parts", c.request.SharedParts[max(0, len(c.request.SharedParts)-maxLoggedParts):]).Int("partCount", len(c.request.SharedParts)).
		Str("kind", string(kind)).Err(err).Bool("mayHaveRun", c.mayHaveRun).Bool("retried", retry).Str("decidedBy", rule).
		Dur("leftMs", time.Until(c.deadline)).Msg("attemptFailed")
	if retry {
		return callResult{}, false
	}
	if a.errorResponse != nil {
		// The endpoint's error response tells the caller more than one made here.
		return a.relayErrorResponse(), true
	}
	return c.giveUp(ctx, problem{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: a.retryAfter}), true
}

// mayRetry reports whether another attempt is allowed after a failure of this kind, and
// which rule decided.
func (c *call) mayRetry(ctx context.Context, a *attempt, kind Kind) (bool, string) {
	now := time.Now()
	switch {
	case ctx.Err() != nil || kind == KindCallerLeft || kind == KindDeadline:
		return false, "ended"
	case kind == KindRefused:
		return false, "scheduler"
	case kind == KindQuarantined:
		return false, "quarantine"
	case c.forwarder.stop.IsOver(now) || c.forwarder.stop.IsAborted():
		return false, "stop"
	case c.deadline.Sub(now) < minAttemptTime:
		return false, "timeLeft"
	case kind == KindLimited:
		return true, "endpointLimit"
	case c.placements >= c.route.MaxAttempts()+maxUnsentPlacements:
		return false, "placements"
	case c.mayHaveRun && !c.route.Repeatable():
		return false, "repeatRule"
	case c.responseStarted && (!c.route.Resumable() || c.lastEventID == ""):
		return false, "answerBegan"
	case !a.sent:
		return true, "notSent"
	case kind == KindConnectionBroken && !a.progress.Continued() && c.forwarder.Quarantine.NearQuarantine(now, c.parts):
		// Whether the endpoint crashed is known only after a probe.
		return false, "suspectPart"
	case c.attempts >= c.route.MaxAttempts():
		return false, "maxAttempts"
	case !c.forwarder.Retries.TryConsume(now, c.service):
		return false, "retryBudget"
	}
	return true, "repeatable"
}

// giveUp ends the call without a complete response. Only a request that cannot have run
// anywhere gets a response that says that it did not run.
func (c *call) giveUp(ctx context.Context, p problem) callResult {
	switch {
	case c.r.Context().Err() != nil:
		return callResult{status: 0, outcome: outcomeCallerLeft, reason: p.reason, abort: true}
	case c.responseStarted:
		return callResult{status: http.StatusOK, outcome: outcomeBrokenOff, reason: p.reason, abort: true}
	case c.mayHaveRun && c.forwarder.stop.IsAborted():
		return c.fail(http.StatusBadGateway, "this instance stopped before the request ended")
	case c.forwarder.stop.IsAborted():
		return c.refuse(*stoppingProblem())
	case c.mayHaveRun && ctx.Err() != nil:
		return c.fail(http.StatusGatewayTimeout, "the request's time ended")
	case c.mayHaveRun:
		return c.fail(http.StatusBadGateway, p.reason)
	}
	return c.refuse(p)
}

// nextWork describes the next attempt to the scheduler.
func (c *call) nextWork(isolate bool) marigoldcroft.Work {
	c.placements++
	work := marigoldcroft.Work{
		ID: marigoldcroft.NewStreamID(c.request.ID+"/"+c.start.Format("05.000000"), c.placements), Team: c.team.Name, Model: c.service,
		Deadline: c.deadline, Exclude: c.excluded, Begun: c.mayHaveRun, IsolateSuspect: isolate, Objective: c.start.Add(c.route.Objective()),
		PromptTokens: 1, Regions: c.regions, Rank: c.rank,
	}
	if c.engine.PrefillTokensPerSecond > 0 {
		work.PromptTokens, work.OutputTokens = c.request.PromptTokens, c.request.OutputTokens
		work.ExpectedOutputTokens = c.request.ExpectedOutputTokens
	}
	return work
}
