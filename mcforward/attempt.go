package mcforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
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
	// maxBufferedBytes limits the bytes of a response that are buffered before it is
	// relayed; the rest of a larger one is relayed as it arrives.
	maxBufferedBytes = 1 << 20
	// maxUnsizedBytes limits a response body whose length is not stated, other than a stream.
	// It is as large as the largest request body.
	maxUnsizedBytes = defaultBodyBytes
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
	// reservations lists the helpers that hold a part of the prompt in their memory.
	reservations []marigoldcroft.ForwardHelper
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

// bufferedResponse is a complete response with an error status.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
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
		return nil, failure("dispatch to "+a.endpoint, KindUnreachable, errors.New("the endpoint has left"))
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

// observeOutput records that output was read. The quarantine is told once of an answer that goes
// on.
func (a *attempt) observeOutput(now time.Time, id marigoldcroft.StreamID) {
	if f := a.call.forwarder; a.progress.Output(now, a.call.forwarder.running.Elapsed) {
		f.announce(a.endpoint, f.Quarantine.AnswerContinued(now, a.endpoint, id))
	}
}

// outputObserver observes the output that is written to it.
type outputObserver struct {
	io.Writer
	attempt *attempt
	id      marigoldcroft.StreamID
}

func (o outputObserver) Write(p []byte) (int, error) {
	o.attempt.observeOutput(time.Now(), o.id)
	return o.Writer.Write(p)
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
	a.call.unplaced = a.decision.Reason == marigoldcroft.ReasonNoEndpoint
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
	if err := a.checkUsable(); err != nil {
		if kindOf(err) == KindLimited {
			// A grant may have lapsed while the connection was opened, which the next attempt then uses.
			f.pool.put(conn, 0)
			return nil, err
		}
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

// bodyConsumed reports whether the body was read to its end, so that the connection can be
// reused.
func bodyConsumed(body io.Reader) bool {
	var rest [1]byte
	n, err := body.Read(rest[:])
	return n == 0 && errors.Is(err, io.EOF)
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

// request builds the request for the endpoint.
func (a *attempt) request(ctx context.Context, endpoint marigoldcroft.Endpoint) *http.Request {
	c := a.call
	target := &url.URL{Scheme: "http", Host: endpoint.Address()}
	path, query, hasQuery := strings.Cut(c.r.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		// Opaque keeps the path exactly as the caller wrote it.
		target.Opaque, target.RawQuery, target.ForceQuery = path, query, hasQuery
	} else {
		*target = *c.r.URL
		target.Scheme, target.Host = "http", endpoint.Address()
	}
	resume := c.request.ResumeAfter
	if c.lastEventID != "" {
		resume = c.lastEventID
	}
	r := &http.Request{
		Method: c.r.Method, URL: target, Host: c.r.Host, ContentLength: int64(len(c.body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.forwarder.Codec.AttemptHeader(&c.request, marigoldcroft.ForwardAttempt{
			Endpoint: endpoint.Name(), Team: c.team.Name, TimeLeft: time.Until(c.deadline), ResumeAfter: resume,
			Priority: c.enginePriority(), Helpers: a.helpers(),
		}),
	}
	r.Header.Del("Content-Length")
	if len(c.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(c.body))
	} else {
		r.Body = http.NoBody
	}
	return r.WithContext(ctx)
}

// helpers returns the endpoints that prefill parts of the prompt.
func (a *attempt) helpers() []marigoldcroft.ForwardHelper {
	helpers := a.reservations
	for _, name := range a.decision.Helpers[len(a.reservations):] {
		if endpoint, ok := a.call.forwarder.Fleet.Endpoint(name); ok && a.mayHelp(name) {
			helpers = append(helpers, marigoldcroft.ForwardHelper{Address: endpoint.Address()})
		}
	}
	return helpers
}

// enginePriority returns the priority in the engine's admission queue, where lower values
// go first. Short requests go before long ones.
func (c *call) enginePriority() int {
	if c.class == marigoldcroft.ClassShort {
		return 2
	}
	return 6
}
