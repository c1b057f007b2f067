package mcforward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// maxBufferedBytes limits the bytes of a response that are buffered before it is
	// relayed; the rest of a larger one is relayed as it arrives.
	maxBufferedBytes = 1 << 20
	// maxUnsizedBytes limits a response body whose length is not stated, other than a stream.
	// It is as large as the largest request body.
	maxUnsizedBytes = defaultBodyBytes
)

// bufferedResponse is a complete response with an error status.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
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

// bodyConsumed reports whether the body was read to its end, so that the connection can be
// reused.
func bodyConsumed(body io.Reader) bool {
	var rest [1]byte
	n, err := body.Read(rest[:])
	return n == 0 && errors.Is(err, io.EOF)
}
