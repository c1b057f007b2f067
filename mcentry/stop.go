package mcentry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcmessage"
)

const (
	// answerShare is the fraction of the time for a planned stop between the time by which
	// requests should end and their abort. In it, what still waits is refused.
	answerShare = 0.05
	// maxAnswerTime limits the time for the answers to aborted requests, and that for recording
	// the outcomes of actions after an abort. Both take milliseconds; they must not delay an
	// operator's second signal.
	maxAnswerTime = time.Second
	// idlePollInterval is how often a stop checks whether requests are left.
	idlePollInterval = 5 * time.Millisecond
)

// stop makes the instance report that it is not ready, accepts requests for the lame-duck
// time, and then waits until no request is left, the stop limit passes or Abort is closed.
// Jobs and ledger shards are released so that other instances can take them over.
func (e *Entry) stop(server *http.Server) error {
	total := e.Settings.Stop.LameDuck + e.Settings.Stop.Limit
	limit, cancel := stopContext(total, e.Abort)
	defer cancel()
	e.gateway.Drain(time.Now().Add(time.Duration((1 - answerShare) * float64(total))))
	e.membership.member.SetState(mcmessage.MemberState_MEMBER_STATE_DRAINING)
	e.logger.Info().Int64("inFlight", e.gateway.InFlight()).Msg("stopBegun")
	mcclock.Sleep(limit, e.Settings.Stop.LameDuck)
	e.gateway.RefuseNew()
	err := endRequests(limit, e.gateway, maxAnswerTime)
	if err == nil {
		err = e.releaseAndWait(limit, server)
	}
	if err != nil {
		e.recordOutcomes(maxAnswerTime)
	}
	if err := finishStop(server, e.logger, e.gateway.InFlight(), err); err != nil {
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
func (e *Entry) releaseAndWait(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); err != nil {
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

// stoppable is an interface to callers during a planned stop.
type stoppable interface {
	// InFlight returns the number of requests in progress.
	InFlight() int64
	// Abort ends them.
	Abort()
}

// endRequests waits until no request is in progress. When ctx ends first, it aborts the
// remaining requests, leaves answerTime for their answers, and returns the error of ctx.
func endRequests(ctx context.Context, requests stoppable, answerTime time.Duration) error {
	if waitIdle(ctx, requests) == nil {
		return nil
	}
	requests.Abort()
	answers, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	// Requests that remain are cut off by the caller, which returns the error below.
	_ = waitIdle(answers, requests)
	return ctx.Err()
}

// waitIdle waits until no request is in progress or ctx ends.
func waitIdle(ctx context.Context, requests stoppable) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for requests.InFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
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

// finishStop completes a graceful shutdown. A non-nil err is the reason for which requests
// remained; their connections are closed.
func finishStop(server *http.Server, logger zerolog.Logger, inFlight int64, err error) error {
	if err != nil {
		logger.Warn().Int64("inFlight", inFlight).Msg("stopLimitReached")
		// The error is ignored: the process ends and takes the connections with it.
		_ = server.Close()
		return marigoldcroft.NewFailure("stop", KindStopLimit, err)
	}
	logger.Info().Msg("stopped")
	return nil
}
