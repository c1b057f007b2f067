package mcforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
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
		f.health.markDown(now, endpoint.Name())
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
		if endpoint, ok := a.call.forwarder.Fleet.Endpoint(name); ok && !a.call.isOutside(endpoint) {
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

// receive validates the header of the response and relays the response to the caller.
func (a *attempt) receive(ctx context.Context, response *http.Response, responseInfo marigoldcroft.ForwardResponse, id marigoldcroft.StreamID) (*callResult, error) {
	c := a.call
	operation := "answer of " + a.endpoint
	switch {
	case responseInfo.RequestID != c.request.ID && !a.isRefusalWithoutID(responseInfo):
		c.forwarder.Metrics.Mismatches.Inc()
		return nil, failure(operation, KindRequestIDMismatch, errors.Newf("it is for request %q", responseInfo.RequestID))
	case response.StatusCode == http.StatusMisdirectedRequest:
		c.mayHaveRun = c.mayHaveRunBefore
		if c.request.ExpectsVersion {
			// The endpoint may have another version. Whether its address is still its own
			// shows in requests that expect none.
			return nil, failure(operation, KindNotRun, errors.New("it has another version, or another address"))
		}
		return nil, failure(operation, KindAddressReused, nil)
	case responseInfo.NotRun:
		c.mayHaveRun = c.mayHaveRunBefore
		a.markHelperDown(responseInfo.FaultyAddress)
		return nil, failure(operation, KindNotRun, errors.Newf("status %d, at fault %q", response.StatusCode, responseInfo.FaultyAddress))
	case response.StatusCode < http.StatusOK:
		// net/http has read interim responses; a status below 100 does not exist.
		return nil, failure(operation, KindInvalidResponse, errors.Newf("its status is %03d", response.StatusCode))
	case responseInfo.HasContentEncoding:
		return nil, failure(operation, KindInvalidResponse, errors.New("its body is encoded"))
	case response.StatusCode >= 300:
		return nil, a.receiveErrorResponse(ctx, response)
	case !responseInfo.HasReceipt:
		return nil, failure(operation, KindInvalidResponse, errors.New("it has no receipt"))
	case c.route.Streaming() && c.r.Method != http.MethodHead:
		return a.relayStream(ctx, response, id)
	}
	return a.relayBuffered(ctx, response, id)
}

// markHelperDown takes the helper at the address out of rotation.
func (a *attempt) markHelperDown(address string) {
	f := a.call.forwarder
	for _, name := range a.decision.Helpers {
		if endpoint, ok := f.Fleet.Endpoint(name); ok && endpoint.Address() == address {
			f.health.markDown(time.Now(), name)
			a.call.excluded = append(a.call.excluded, name)
		}
	}
}

// relayBuffered buffers the response before it relays it, so that the request can be
// repeated if the response breaks off and the route allows it.
func (a *attempt) relayBuffered(ctx context.Context, response *http.Response, id marigoldcroft.StreamID) (*callResult, error) {
	c := a.call
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return nil, a.exchangeError(ctx, err)
	}
	if len(body) < maxBufferedBytes {
		if err := a.confirmWhole(ctx); err != nil {
			return nil, err
		}
	}
	c.recordFirstOutput(id, a)
	c.copyHeader(response.Header, true)
	c.responseStarted = true
	a.recordCompletion()
	if len(body) < maxBufferedBytes {
		c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
		c.w.WriteHeader(response.StatusCode)
		_, err = c.w.Write(body)
		return &callResult{status: response.StatusCode, outcome: outcomeAnswered, abort: err != nil}, nil
	}
	if response.ContentLength >= 0 {
		c.w.Header()["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	c.w.WriteHeader(response.StatusCode)
	if _, err = c.w.Write(body); err == nil {
		err = copyBody(outputObserver{Writer: c.w, attempt: a, id: id}, response)
	}
	if marigoldcroft.FailureKind[Kind](err) == KindOversized {
		return nil, err
	}
	if err == nil {
		if err := a.confirmWhole(ctx); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, a.exchangeError(ctx, err)
	}
	return &callResult{status: response.StatusCode, outcome: outcomeAnswered}, nil
}

// copyBody relays the rest of a body. A body without a stated length must end within
// maxUnsizedBytes.
func copyBody(w io.Writer, response *http.Response) error {
	if response.ContentLength >= 0 {
		_, err := io.Copy(w, response.Body)
		return err
	}
	n, err := io.Copy(w, io.LimitReader(response.Body, maxUnsizedBytes))
	if err == nil && n == maxUnsizedBytes {
		return failure("relay of a body", KindOversized, errors.Newf("no end after %d bytes", n))
	}
	return err
}

// receiveErrorResponse reads the endpoint's error response; the request may still be tried
// elsewhere.
func (a *attempt) receiveErrorResponse(ctx context.Context, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return a.exchangeError(ctx, err)
	}
	if len(body) > maxBufferedBytes {
		return failure("answer of "+a.endpoint, KindOversized, errors.Newf("an error response is larger than %d bytes", maxBufferedBytes))
	}
	a.errorResponse = &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	return failure("answer of "+a.endpoint, KindFailed, errors.Newf("status %d", response.StatusCode))
}

// notRunStatuses are the statuses from which a caller concludes that its request did not
// run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// relayErrorResponse relays the endpoint's error response. A status from which callers
// would conclude that the request did not run is replaced, and the response then carries no
// receipt.
func (a *attempt) relayErrorResponse() callResult {
	c, r := a.call, a.errorResponse
	if c.responseStarted {
		return callResult{status: http.StatusOK, outcome: outcomeBrokenOff, reason: "the endpoint failed on resumption", abort: true}
	}
	if notRunStatuses[r.status] {
		return c.fail(http.StatusBadGateway, "the endpoint answered with a status that would say that the request did not run")
	}
	c.copyHeader(r.header, true)
	c.w.Header()["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	c.w.WriteHeader(r.status)
	// The error is ignored: a caller that has left cannot be told.
	_, _ = c.w.Write(r.body)
	return callResult{status: r.status, outcome: outcomeAnswered, reason: "the endpoint's own failure"}
}

// copyHeader sets the caller's response header from that of the endpoint.
func (c *call) copyHeader(header http.Header, receipt bool) {
	out := c.w.Header()
	for name, values := range c.forwarder.Codec.CallerHeader(header, receipt) {
		out[name] = values
	}
	if _, set := out["Content-Type"]; !set {
		// A nil value keeps net/http from sniffing the content type.
		out["Content-Type"] = nil
	}
}

// recordFirstOutput records the arrival of the first part of the response. The caller's
// first output is that of the first attempt that returned any.
func (c *call) recordFirstOutput(id marigoldcroft.StreamID, a *attempt) {
	now := time.Now()
	if c.firstOutputAt.IsZero() {
		c.firstOutputAt = now
	}
	c.lastOutputAt = now
	a.observeOutput(now, id)
	a.completion.FirstToken = now.Sub(a.sentAt)
	c.forwarder.Dispatcher.FirstToken(id)
	c.forwarder.Quarantine.FirstOutput(now, a.endpoint, id)
	a.loadChanged()
}
