package mcentry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcstop"
)

const (
	// answerShare is the fraction of the time for a planned stop between the time by which
	// requests should end and their abort. In it, what still waits is refused.
	answerShare = 0.05
	// reserveShare is the fraction of the time for a planned stop that is left after the abort
	// beyond what the answers take. It is at least minReserve, as a busy machine may suspend
	// a process for tens of milliseconds, and at most maxAnswerTime.
	reserveShare = 0.025
	minReserve   = 100 * time.Millisecond
	// maxAnswerTime limits the time for the answers after an operator's second signal, and that
	// for recording the outcomes of actions after an abort.
	maxAnswerTime = time.Second
	// timePerAnswer is the assumed time for one answer on a slow machine. When the time left
	// is short by it, a fraction of the requests, trialShare, is aborted to measure it.
	timePerAnswer = 2 * time.Millisecond
	trialShare    = 0.125
	// measuredMargin is the factor by which the other answers may take longer than measured.
	measuredMargin = 2
	// maxAbortShare is the fraction of the time for a planned stop within which requests may
	// be aborted, however many they are. In a short stop, this is shortAbortTime, or
	// shortAbortShare of it.
	maxAbortShare   = 0.125
	shortAbortTime  = 600 * time.Millisecond
	shortAbortShare = 0.6
	// idlePollInterval is how often a stop checks whether requests are left.
	idlePollInterval = 5 * time.Millisecond
)

// stop makes the instance report that it is not ready, accepts requests for the lame-duck
// time, and then waits until no request is left, the stop limit passes or Abort is closed.
// Jobs and ledger shards are released so that other instances can take them over.
func (e *Entry) stop(connections *mcstop.Connections) error {
	total := e.Settings.Stop.LameDuck + e.Settings.Stop.Limit
	p := newPlannedStop(total, e.gateway, connections, e.logger)
	limit, cancel := stopContext(total, e.Abort)
	defer cancel()
	e.gateway.Drain(p.endBy(p.share(1 - answerShare)))
	e.membership.member.SetState(mcmessage.MemberState_MEMBER_STATE_DRAINING)
	e.logger.Info().Int64("inFlight", e.gateway.InFlight()).Msg("stopBegun")
	mcclock.Sleep(limit, e.Settings.Stop.LameDuck)
	e.gateway.RefuseNew()
	err := p.endRequests(limit)
	if err == nil {
		err = e.releaseAndWait(limit, connections)
	}
	if err != nil {
		e.recordOutcomes(maxAnswerTime)
	}
	if err := p.finish(err); err != nil {
		return err
	}
	if e.declaredGone.Load() {
		return marigoldcroft.NewFailure("stop", KindDeclaredGone, nil)
	}
	return nil
}

// drainDeclaredGone begins a graceful shutdown because peers have declared this run gone,
// for example after a long pause. They take over its jobs and cancel its streams, so the
// instance must be started again as a new run with a new incarnation.
func (e *Entry) drainDeclaredGone() {
	e.logger.Error().Uint64("incarnation", e.identity.Incarnation()).Msg("runGivenUpByPeers")
	e.declaredGone.Store(true)
	e.drainOnce.Do(func() { close(e.drain) })
}

// releaseAndWait releases jobs and ledger shards, and waits for the requests that peers have
// forwarded to this instance.
func (e *Entry) releaseAndWait(ctx context.Context, connections *mcstop.Connections) error {
	if err := connections.Drain(ctx); err != nil {
		return err
	}
	e.releaseJobsAndLedger(ctx)
	return waitFor(ctx, e.gateway.Wait)
}

// stopContext returns a context that ends after the time for the stop, or when abort is closed.
func stopContext(total time.Duration, abort <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), total)
	go func() {
		select {
		case <-abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

type (
	// stoppable is an interface to callers during a planned stop.
	stoppable interface {
		// InFlight returns the number of requests in progress.
		InFlight() int64
		// Abort ends them. AbortNewest ends up to n of them and returns how many; Ending
		// returns how many of those that were ended are still in progress.
		Abort()
		AbortNewest(n int) int
		Ending() int
	}

	// plannedStop ends the requests in progress, and the connections of their callers,
	// within the time for the stop.
	plannedStop struct {
		requests    stoppable
		connections *mcstop.Connections
		logger      zerolog.Logger
		begun       time.Time
		total       time.Duration
		// trialSize is the number of requests that were aborted to measure the time for an
		// answer, or 0; trialTime is the time since then, until all of them have ended.
		trialSize  int
		trialAt    time.Time
		trialTime  time.Duration
		trialEnded bool
	}
)

func newPlannedStop(total time.Duration, requests stoppable, connections *mcstop.Connections, logger zerolog.Logger) *plannedStop {
	return &plannedStop{requests: requests, connections: connections, logger: logger, begun: time.Now(), total: total}
}

// timeLeft returns the time to the end of the stop.
func (p *plannedStop) timeLeft() time.Duration { return p.total - time.Since(p.begun) }

// endBy returns the time by which requests should end: the given time after the begin of the
// stop, or before the first abort of as many requests as there are.
func (p *plannedStop) endBy(wanted time.Duration) time.Time {
	return p.begun.Add(min(wanted, p.total-p.answerTime(p.requests.InFlight(), timePerAnswer)))
}

func (p *plannedStop) share(fraction float64) time.Duration {
	return time.Duration(fraction * float64(p.total))
}

// reserve returns the time for the answers to aborted requests beyond the time for each.
func (p *plannedStop) reserve() time.Duration {
	return min(max(p.share(reserveShare), minReserve), p.share(maxAbortShare), maxAnswerTime)
}

// answerTime returns the time for the answers to n aborted requests that take the given time
// each.
func (p *plannedStop) answerTime(n int64, each time.Duration) time.Duration {
	most := max(p.share(maxAbortShare), min(shortAbortTime, p.share(shortAbortShare)))
	return min(time.Duration(n)*each+p.reserve(), most)
}

// endRequests waits until no request is in progress. It aborts requests when ctx ends, or as
// late as their answers allow, and then returns an error when all have ended or the stop has.
func (p *plannedStop) endRequests(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for p.requests.InFlight() > 0 && !p.mustAbort(ctx) {
		p.updateTrial()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	if p.requests.InFlight() == 0 && p.trialSize == 0 {
		return nil
	}
	p.requests.Abort()
	p.logger.Warn().Int64("inFlight", p.requests.InFlight()).Dur("leftMs", p.timeLeft()).
		Int("trial", p.trialSize).Dur("trialMs", p.trialTime).Msg("requestsAborted")
	p.limitAnswers(ctx)
	for p.requests.InFlight() > 0 && p.timeLeft() > 0 {
		<-ticker.C
	}
	return context.DeadlineExceeded
}

// mustAbort reports whether the requests that remain must be aborted now.
func (p *plannedStop) mustAbort(ctx context.Context) bool {
	n, each := p.requests.InFlight(), timePerAnswer
	switch {
	case ctx.Err() != nil:
		return true
	case p.trialSize > 0:
		each = measuredMargin * p.trialTime / time.Duration(p.trialSize)
	case p.needsTrial(n):
		return false
	}
	return p.timeLeft() <= p.answerTime(n, each)
}

// needsTrial reports whether n requests are so many that the time for their answers is to be
// measured.
func (p *plannedStop) needsTrial(n int64) bool {
	return time.Duration(n)*timePerAnswer > p.reserve()
}

// updateTrial aborts some requests if the time may become short for the answers to all, and
// measures how long their answers take.
func (p *plannedStop) updateTrial() {
	n := p.requests.InFlight()
	switch {
	case p.trialSize > 0 && !p.trialEnded:
		p.trialTime, p.trialEnded = time.Since(p.trialAt), p.requests.Ending() == 0
	case p.trialSize == 0 && p.needsTrial(n) && p.timeLeft() <= p.answerTime(n, timePerAnswer):
		p.trialAt = time.Now()
		p.trialSize = max(1, p.requests.AbortNewest(max(1, int(trialShare*float64(n)))))
	}
}

// limitAnswers shortens the rest of the stop to the time for answers if an operator ended it.
func (p *plannedStop) limitAnswers(ctx context.Context) {
	if ctx.Err() != nil {
		p.total = min(p.total, time.Since(p.begun)+maxAnswerTime)
	}
}

// waitFor returns when wait returns, or with the error of ctx when that ends first.
func waitFor(ctx context.Context, wait func()) error {
	ended := make(chan struct{})
	go func() {
		wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finish completes a planned stop. A non-nil err is the reason for which requests remained;
// their connections are closed once their answers are sent or the time is over.
func (p *plannedStop) finish(err error) error {
	if err == nil {
		p.logger.Info().Msg("stopped")
		return nil
	}
	answers, cancel := context.WithTimeout(context.Background(), p.timeLeft())
	defer cancel()
	// The error is ignored: the process ends and takes the connections with it.
	_ = p.connections.Drain(answers)
	p.logger.Warn().Int64("inFlight", p.requests.InFlight()).Msg("stopLimitReached")
	p.connections.CloseAll()
	return marigoldcroft.NewFailure("stop", KindStopLimit, err)
}
