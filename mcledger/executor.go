package mcledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// defaultCallTimeout bounds a granted call, which continues after its caller has left.
	defaultCallTimeout = time.Minute
	// defaultRecordWait is how long the answer to a caller is held back until its outcome
	// is recorded.
	defaultRecordWait = time.Second
	// defaultRecordTimeout bounds the time spent on recording an outcome.
	defaultRecordTimeout = 5 * time.Minute
	// statusTimeout bounds one status query over all endpoints of a call.
	statusTimeout = 2 * time.Second
)

// ResultKind classifies the result of a call.
type ResultKind string

// The kinds of results.
const (
	// ResultRan means that this call ran; Answer holds the service's answer.
	ResultRan ResultKind = "ran"
	// ResultRecorded means that the action ran before; Answer holds the recorded answer.
	ResultRecorded ResultKind = "recorded"
	// ResultKeyReused means that the key was used before with another request body.
	ResultKeyReused ResultKind = "keyReused"
	// ResultInFlight means that another attempt of the action is in flight.
	ResultInFlight ResultKind = "inFlight"
	// ResultUnknown means that the action may have run and that neither the ledger nor the
	// service's status query knows its outcome.
	ResultUnknown ResultKind = "unknown"
	// ResultDeadlineExceeded means that the caller's deadline passed while its call was
	// running. A retry returns the outcome once it is recorded.
	ResultDeadlineExceeded ResultKind = "deadline"
	// ResultStoreUnavailable means that the intent could not be recorded.
	ResultStoreUnavailable ResultKind = "storeUnavailable"
	// ResultNotSent means that no endpoint could be reached; the call did not run.
	ResultNotSent ResultKind = "notSent"
	// ResultBadKey means that the key is malformed, too old or too far in the future.
	ResultBadKey ResultKind = "badKey"
)

type (
	// Result is the result of a call as reported to its caller.
	Result struct {
		Kind ResultKind
		// Answer is set for ResultRan and ResultRecorded. Of the header of a recorded answer,
		// only the content type is kept.
		Answer marigoldcroft.ServiceAnswer
		// BodyOmitted is true if the response body was too large to be recorded.
		BodyOmitted bool
		// NotRun is true if the action certainly never ran and no attempt is in flight.
		NotRun bool
		// Err is the cause of a result without an answer and may be nil.
		Err error
	}

	// Call is one call that must run at most once.
	Call struct {
		Key marigoldcroft.ActionKey
		// Call is the request sent to the service. If its Key is empty, the idempotency key
		// of Key is sent.
		Call marigoldcroft.ServiceCall
		// Endpoints are tried in order until one can be reached.
		Endpoints []marigoldcroft.Endpoint
	}

	// Executor runs calls of plain services at most once. Its fields must be set before
	// use.
	Executor struct {
		Ledger  marigoldcroft.Ledger
		Service marigoldcroft.Service
		Log     zerolog.Logger
		// CallTimeout bounds a granted call, 1 min by default. MaxRecordWait bounds how long
		// the answer to a caller is held back until its outcome is recorded, 1 s by default.
		// RecordTimeout bounds the time spent on recording an outcome, 5 min by default.
		CallTimeout, MaxRecordWait, RecordTimeout time.Duration

		background         sync.WaitGroup
		unrecordedOutcomes atomic.Uint64
	}
)

// resultStatuses maps the kinds without an answer to an HTTP status and an error code
// (docs/design.md, section 2.12).
var resultStatuses = map[ResultKind]struct {
	status int
	code   string
}{
	ResultKeyReused:        {http.StatusUnprocessableEntity, "keyReused"},
	ResultInFlight:         {http.StatusConflict, "conflict"},
	ResultUnknown:          {http.StatusBadGateway, "upstreamFailed"},
	ResultDeadlineExceeded: {http.StatusGatewayTimeout, "deadline"},
	ResultStoreUnavailable: {http.StatusServiceUnavailable, "storeUnavailable"},
	ResultNotSent:          {http.StatusBadGateway, "upstreamFailed"},
	ResultBadKey:           {http.StatusBadRequest, "badRequest"},
}

// HTTPStatus returns the HTTP status of the result and, if it has no answer, the error
// code.
func (r Result) HTTPStatus() (int, string) {
	if s, ok := resultStatuses[r.Kind]; ok {
		return s.status, s.code
	}
	return r.Answer.Status, ""
}

// Outcome returns the outcome field of an error response, "notRun" or "unknown". It
// returns "" for a result with an answer.
func (r Result) Outcome() string {
	switch {
	case r.Kind == ResultRan || r.Kind == ResultRecorded:
		return ""
	case r.NotRun:
		return "notRun"
	}
	return "unknown"
}

// BodyHash returns the hash by which calls with the same key are compared. It covers
// method, path and body.
func BodyHash(call marigoldcroft.ServiceCall) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), call.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// UnrecordedOutcomes returns the number of outcomes that could not be recorded in time.
func (e *Executor) UnrecordedOutcomes() uint64 { return e.unrecordedOutcomes.Load() }

// Wait waits until all granted calls have ended and their outcomes are recorded or given
// up. It serves a planned stop and must be called after the last Execute has returned.
func (e *Executor) Wait() { e.background.Wait() }

// Execute runs the call at most once. It returns early if ctx ends; a call that was
// granted by then still runs and its outcome is recorded.
func (e *Executor) Execute(ctx context.Context, c Call) Result {
	if c.Call.Key == "" {
		c.Call.Key = c.Key.Key()
	}
	grant, err := e.Ledger.Begin(ctx, c.Key, BodyHash(c.Call))
	if err != nil {
		return beginFailure(err)
	}
	if !grant.Granted {
		return e.notGranted(ctx, c, grant)
	}
	results := make(chan Result, 1)
	e.background.Go(func() { e.runGranted(context.WithoutCancel(ctx), c, grant.AttemptID, results) })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return Result{Kind: ResultDeadlineExceeded, Err: ctx.Err()}
	}
}

func beginFailure(err error) Result {
	switch marigoldcroft.FailureKind[Kind](err) {
	case KindInvalidKey:
		return Result{Kind: ResultBadKey, NotRun: true, Err: err}
	case KindKeyOutsideRetention:
		return Result{Kind: ResultBadKey, Err: err}
	case KindKeyReused:
		return Result{Kind: ResultKeyReused, Err: err}
	case KindNotRun:
		return Result{Kind: ResultStoreUnavailable, NotRun: true, Err: err}
	}
	return Result{Kind: ResultStoreUnavailable, Err: err}
}

func (e *Executor) notGranted(ctx context.Context, c Call, grant marigoldcroft.ActionGrant) Result {
	switch grant.State {
	case marigoldcroft.ActionDone:
		return recordedResult(grant.Outcome)
	case marigoldcroft.ActionStarted:
		return Result{Kind: ResultInFlight}
	case marigoldcroft.ActionUnknown:
		answer, known := e.queryStatus(ctx, c)
		if !known {
			return Result{Kind: ResultUnknown}
		}
		outcome := outcomeOfAnswer(answer)
		e.background.Go(func() {
			e.recordOutcome(context.WithoutCancel(ctx), c.Key, grant.AttemptID, marigoldcroft.ActionDone, outcome, make(chan struct{}))
		})
		return recordedResult(outcome)
	}
	return Result{Kind: ResultStoreUnavailable}
}

// runGranted makes a granted call and records its outcome. It sends the result once the
// outcome is recorded, or after MaxRecordWait.
func (e *Executor) runGranted(ctx context.Context, c Call, attemptID string, results chan<- Result) {
	callCtx, cancel := context.WithTimeout(ctx, orDefault(e.CallTimeout, defaultCallTimeout))
	result, state := e.callEndpoints(callCtx, c)
	cancel()
	recorded := make(chan struct{})
	outcome := marigoldcroft.ActionOutcome{}
	if state == marigoldcroft.ActionDone {
		outcome = outcomeOfAnswer(result.Answer)
	}
	e.background.Go(func() { e.recordOutcome(ctx, c.Key, attemptID, state, outcome, recorded) })
	timer := time.NewTimer(orDefault(e.MaxRecordWait, defaultRecordWait))
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
	results <- result
}

// callEndpoints calls the endpoints in order until the request is sent to one of them.
func (e *Executor) callEndpoints(ctx context.Context, c Call) (Result, marigoldcroft.ActionState) {
	result := Result{Kind: ResultNotSent, NotRun: true}
	for _, endpoint := range c.Endpoints {
		answer, err := e.Service.Call(ctx, endpoint, c.Call)
		if err == nil {
			return Result{Kind: ResultRan, Answer: answer}, marigoldcroft.ActionDone
		}
		result.Err = err
		if marigoldcroft.NotSent(err) {
			continue
		}
		if answer, known := e.queryStatus(ctx, c); known {
			return Result{Kind: ResultRan, Answer: answer}, marigoldcroft.ActionDone
		}
		return Result{Kind: ResultUnknown, Err: err}, marigoldcroft.ActionUnknown
	}
	return result, marigoldcroft.ActionAbandoned
}

// queryStatus asks the endpoints in order for the outcome of the key until one knows it.
// An endpoint that does not know the key proves nothing, as the call may still be on its
// way to the service.
func (e *Executor) queryStatus(ctx context.Context, c Call) (marigoldcroft.ServiceAnswer, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout)
	defer cancel()
	for _, endpoint := range c.Endpoints {
		answer, known, err := e.Service.Status(ctx, endpoint, c.Call.Key)
		if err == nil && known {
			return answer, true
		}
	}
	return marigoldcroft.ServiceAnswer{}, false
}

// recordOutcome calls Finish until it succeeds, it is refused or RecordTimeout has
// passed, and then closes recorded.
func (e *Executor) recordOutcome(ctx context.Context, key marigoldcroft.ActionKey, attemptID string, state marigoldcroft.ActionState, outcome marigoldcroft.ActionOutcome, recorded chan<- struct{}) {
	defer close(recorded)
	ctx, cancel := context.WithTimeout(ctx, orDefault(e.RecordTimeout, defaultRecordTimeout))
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := e.Ledger.Finish(ctx, key, attemptID, state, outcome)
		if err == nil {
			return
		}
		if !IsKind(err, KindUnavailable) || !waitBackoff(ctx, attempt) {
			e.unrecordedOutcomes.Add(1)
			e.Log.Error().Str("team", key.Team()).Str("service", key.Service()).Str("key", key.Key()).
				Str("state", string(state)).Err(err).Msg("outcomeNotRecorded")
			return
		}
	}
}

// waitBackoff sleeps for a backoff with jitter before the next attempt. It returns false
// if ctx ends.
func waitBackoff(ctx context.Context, attempt int) bool {
	mean := mcclock.Backoff(finishBackoffBase, finishBackoffMax, attempt)
	return mcclock.Sleep(ctx, mean/2+rand.N(mean))
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

func outcomeOfAnswer(answer marigoldcroft.ServiceAnswer) marigoldcroft.ActionOutcome {
	return marigoldcroft.ActionOutcome{
		Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body,
	}
}

func recordedResult(o marigoldcroft.ActionOutcome) Result {
	header := http.Header{}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	return Result{
		Kind: ResultRecorded, BodyOmitted: o.BodyOmitted,
		Answer: marigoldcroft.ServiceAnswer{Status: o.Status, Header: header, Body: o.Body},
	}
}
