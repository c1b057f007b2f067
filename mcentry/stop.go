package mcentry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
)

// stop makes the instance report that it is not ready, accepts requests for the lame-duck
// time, and then waits until no request is left, the stop limit passes or Abort is closed.
// Jobs and ledger shards are released so that other instances can take them over.
func (e *Entry) stop(server *http.Server) error {
	e.gateway.Drain()
	e.membership.member.SetState(mcmessage.MemberState_MEMBER_STATE_DRAINING)
	e.logger.Info().Int64("inFlight", e.gateway.InFlight()).Msg("stopBegun")
	limit, cancel := context.WithTimeout(context.Background(), e.Settings.Stop.LameDuck+e.Settings.Stop.Limit)
	defer cancel()
	waitLameDuck(e.Settings.Stop.LameDuck, e.Abort)
	finished := make(chan error, 1)
	go func() { finished <- e.drainRequests(limit, server) }()
	var err error
	select {
	case err = <-finished:
	case <-e.Abort:
		err = context.Canceled
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

// drainRequests waits for the callers' requests, releases jobs and ledger shards, and
// then waits for the requests that peers have forwarded to this instance.
func (e *Entry) drainRequests(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); err != nil {
		return err
	}
	e.releaseJobsAndLedger(ctx)
	return waitFor(ctx, e.gateway.Wait)
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

// waitLameDuck waits for d or until abort is closed. It reports whether abort was closed.
func waitLameDuck(d time.Duration, abort <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-abort:
		return true
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
