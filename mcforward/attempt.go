package mcforward

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcquarantine"
	"marigoldcroft/mcsocket"
)

const (
	// maxUnsentPlacements is how many times a call may be submitted to the scheduler beyond
	// its maximum of attempts, to make up for placements whose request was never sent.
	maxUnsentPlacements = 4
)

// attempt is one try of a call at one endpoint.
type attempt struct {
	call *call
	// isolate is true if the attempt may run only on an endpoint where no other suspect runs.
	isolate bool

	work       marigoldcroft.Work
	decision   marigoldcroft.Decision
	completion marigoldcroft.Completion
	endpoint   string
	retryAfter time.Duration
	// reservations lists the helpers that hold a part of the prompt in their memory. They are the first
	// ones of decision.Helpers.
	reservations []marigoldcroft.ForwardHelper
	// lastRenewed holds the positions of the reservations that are not renewed any more, because the
	// helper's data centre is evacuated.
	lastRenewed map[int]bool
	// sent is true once a part of the request may have reached the endpoint.
	sent   bool
	sentAt time.Time
	// grantedAt is when the owner of the limit of a cold endpoint granted the request, or zero.
	grantedAt time.Time
	// reusedConnection is true if the connection of the attempt had carried an earlier request.
	reusedConnection bool
	// progress follows the output of the answer.
	progress mcquarantine.Progress
	// address is that of the endpoint.
	address string
	// endedWithConnection is true if the end of the connection is the end of the response. Such
	// a response does not prove that the endpoint survived the request: a crash that closes the
	// connection between two events ends it in the same way.
	endedWithConnection bool
	// errorResponse is the endpoint's error response, passed on to the caller if no other
	// attempt follows.
	errorResponse *bufferedResponse
}

// run waits until the scheduler assigns an endpoint and sends the request there.
func (a *attempt) run(ctx context.Context) (*callResult, error) {
	c, f := a.call, a.call.forwarder
	work := c.nextWork(a.isolate)
	a.work = work
	queuedAt := time.Now()
	decision, decisions := f.Dispatcher.Submit(queuedAt, work)
	a.decision, c.class = decision, decision.Class
	if decision.Action == marigoldcroft.ActionRefuse {
		return nil, a.refusedError()
	}
	defer func() { f.Dispatcher.Finish(work.ID, a.completion) }()
	for a.decision.Action != marigoldcroft.ActionDispatch {
		select {
		case a.decision = <-decisions:
		case <-ctx.Done():
			return nil, a.contextError(ctx, "wait for an endpoint")
		}
		if a.decision.Action == marigoldcroft.ActionExpire || a.decision.Action == marigoldcroft.ActionRefuse {
			return nil, a.refusedError()
		}
	}
	if f.stop.IsAborted() {
		// The requests that were aborted first may have made room for this one.
		return nil, a.contextError(ctx, "wait for an endpoint")
	}
	if err := c.quarantinedPart(); err != nil {
		// The part was quarantined while the request waited.
		return nil, err
	}
	if c.mustIsolate(a) {
		return nil, failure("quarantine", KindSuspected, errors.New("the request became a crash suspect while it waited"))
	}
	a.endpoint = a.decision.Endpoint
	endpoint, ok := f.Fleet.Endpoint(a.endpoint)
	if !ok {
		c.excluded = append(c.excluded, a.endpoint)
		return nil, a.leftError(a.endpoint, KindUnreachable)
	}
	if err := a.acquire(ctx); err != nil {
		return nil, err
	}
	event := f.Logger.Info().Str("requestId", c.request.ID).Str("endpoint", a.endpoint).Uint64("incarnation", f.Fleet.Incarnation(a.endpoint))
	f.addAges(event).Strs("helpers", a.decision.Helpers).Stringer("class", a.decision.Class).Dur("queuedMs", time.Since(queuedAt)).Dur("predictedStartMs", a.decision.PredictedStart).
		Dur("predictedFirstMs", a.decision.PredictedFirstToken).Dur("predictedEndMs", a.decision.PredictedEnd).
		Int64("outputTokens", work.OutputTokens).Int64("expectedOutputTokens", work.ExpectedOutputTokens).Msg("dispatched")
	a.loadChanged()
	defer a.loadChanged()
	f.Quarantine.Begin(time.Now(), a.endpoint, work.ID, c.fingerprint, c.parts)
	result, err := a.sendWithReservations(ctx, endpoint, work.ID)
	a.reportEnd(endpoint, work.ID, err)
	return result, err
}

// loadChanged reports a change of the work on an engine, so that it can be sent to the
// other instances, which share the slots and the prefill capacity of the engine.
func (a *attempt) loadChanged() {
	if a.call.engine.Slots > 0 {
		a.call.forwarder.OnLoadChange()
	}
}

func (a *attempt) refusedError() error {
	a.retryAfter = a.decision.RetryAfter
	a.call.unplaced = a.decision.Reason == marigoldcroft.ReasonNoEndpoint || a.decision.Reason == marigoldcroft.ReasonRegion
	a.call.forwarder.Metrics.Refusals.WithLabelValues(string(a.decision.Reason)).Inc()
	return failure("admission", KindRefused, errors.New(string(a.decision.Reason)))
}

// contextError returns the error of a call whose context has ended: the caller left, the
// instance aborted its requests or the deadline passed.
func (a *attempt) contextError(ctx context.Context, operation string) error {
	switch {
	case a.call.r.Context().Err() != nil:
		return failure(operation, KindCallerLeft, ctx.Err())
	case a.call.forwarder.stop.IsAborted():
		return failure(operation, KindAborted, ctx.Err())
	}
	return failure(operation, KindDeadline, ctx.Err())
}

// reportEnd reports the end of the attempt to the quarantine, the metrics, the fleet and
// the health tracker.
func (a *attempt) reportEnd(endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID, err error) {
	f, c := a.call.forwarder, a.call
	kind := kindOf(err)
	label := "ok"
	if err != nil {
		label = string(kind)
	}
	if err != nil && kind != KindLimited {
		c.excluded = append(c.excluded, a.endpoint)
	}
	f.Metrics.Attempts.WithLabelValues(label).Inc()
	now := time.Now()
	switch {
	case kind == KindConnectionBroken:
		f.Quarantine.StreamBroken(now, a.endpoint, id)
	case err == nil && a.endedWithConnection:
		f.confirmSurvival(endpoint, id)
	case kind == KindConnectionRefused:
		f.announce(a.endpoint, f.Quarantine.ConnectionRefused(now, a.endpoint))
		f.announce(a.endpoint, f.Quarantine.End(now, a.endpoint, id, false))
	default:
		f.announce(a.endpoint, f.Quarantine.End(now, a.endpoint, id, err == nil))
	}
	switch kind {
	case KindAddressReused:
		f.Fleet.MarkMoved(endpoint.Name())
	case KindConnectionRefused:
		f.health.markEnded(now, endpoint.Name())
		f.health.recordRefused(now, endpoint)
	case KindUnreachable:
		f.health.markDown(now, endpoint.Name())
		f.health.recordSilent(now, endpoint)
	case KindOversized:
		f.health.markDown(now, endpoint.Name())
	case KindConnectionBroken:
		if errors.Is(err, syscall.ETIMEDOUT) {
			f.health.recordSilent(now, endpoint)
		}
		f.probeBroken(endpoint, !a.progress.Continued())
	}
}

// send sends the request over a connection to the endpoint and relays the response.
func (a *attempt) send(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) (*callResult, error) {
	f := a.call.forwarder
	conn, err := f.pool.get(ctx, endpoint)
	if err != nil {
		if ctx.Err() != nil {
			return nil, a.contextError(ctx, "connect to "+endpoint.Name())
		}
		return nil, err
	}
	if err := a.checkBeforeSend(ctx); err != nil {
		if kindOf(err) == KindLimited {
			// A grant may have lapsed while the connection was opened, which the next attempt then uses.
			f.pool.put(conn, 0)
			return nil, err
		}
		conn.close()
		return nil, err
	}
	if err := a.checkRegions(endpoint); err != nil {
		conn.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, readBefore := conn.socket.written.Load(), conn.socket.read.Load()
	a.sentAt, a.reusedConnection = time.Now(), conn.reused
	response, err := conn.conn.RoundTrip(a.request(ctx, endpoint))
	if conn.socket.written.Load() > before {
		a.markSent(endpoint)
	}
	if err != nil {
		conn.close()
		if a.sent && conn.socket.read.Load()-readBefore >= mcsocket.MaxResponseHeaderBytes {
			return nil, failure("call of "+a.endpoint, KindOversized, err)
		}
		return nil, a.exchangeError(ctx, err)
	}
	if err := mcsocket.RefuseSwitch(response); err != nil {
		conn.close()
		return nil, failure("answer of "+a.endpoint, KindInvalidResponse, err)
	}
	defer response.Body.Close()
	f.health.recordResponse(endpoint)
	a.address, a.endedWithConnection = endpoint.Address(), endsWithConnection(response)
	responseInfo := f.Codec.DecodeResponse(response.Header)
	a.observeStatements(response.StatusCode, responseInfo)
	result, err := a.receive(ctx, response, responseInfo, id)
	if err != nil || response.Close || !bodyConsumed(response.Body) {
		cancel()
		conn.close()
		return result, err
	}
	f.pool.put(conn, responseInfo.KeepAliveTimeout)
	return result, nil
}

// markSent records that the request may have reached the endpoint.
func (a *attempt) markSent(endpoint marigoldcroft.Endpoint) {
	if a.sent {
		return
	}
	a.sent = true
	a.call.attempts++
	a.call.mayHaveRun = true
	a.call.triedEndpoints = append(a.call.triedEndpoints, endpoint.Name())
}

// exchangeError returns the error of an exchange that ended without a complete response.
func (a *attempt) exchangeError(ctx context.Context, err error) error {
	operation := "call of " + a.endpoint
	switch {
	case ctx.Err() != nil:
		return a.contextError(ctx, operation)
	case !a.sent:
		return failure(operation, KindUnreachable, err)
	}
	return failure(operation, KindConnectionBroken, err)
}
