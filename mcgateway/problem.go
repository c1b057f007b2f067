package mcgateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Code is an error code of the callers' API.
type Code string

// The error codes; statusOf holds the HTTP status of each.
const (
	CodeBadRequest       Code = "badRequest"
	CodeUnauthorized     Code = "unauthorized"
	CodeUnknownTemplate  Code = "unknownTemplate"
	CodeNotFound         Code = "notFound"
	CodeConflict         Code = "conflict"
	CodeTooLarge         Code = "tooLarge"
	CodeKeyReused        Code = "keyReused"
	CodeQuarantined      Code = "quarantined"
	CodeOverloaded       Code = "overloaded"
	CodeTeamLimit        Code = "teamLimit"
	CodeDeadline         Code = "deadline"
	CodeUpstreamFailed   Code = "upstreamFailed"
	CodeStoreUnavailable Code = "storeUnavailable"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeInFlight         Code = "inFlight"
	CodeStopping         Code = "stopping"
	CodeInternal         Code = "internal"
)

// Outcome tells a caller what became of the work.
type Outcome string

// The outcomes: the work did not and will not run, it failed and may have run in part, or
// it is not known whether it ran.
const (
	OutcomeNotRun  Outcome = "notRun"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
)

var statusOf = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeUnknownTemplate:  http.StatusNotFound,
	CodeNotFound:         http.StatusNotFound,
	CodeConflict:         http.StatusConflict,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeKeyReused:        http.StatusUnprocessableEntity,
	CodeQuarantined:      http.StatusUnprocessableEntity,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeTeamLimit:        http.StatusTooManyRequests,
	CodeDeadline:         http.StatusGatewayTimeout,
	CodeUpstreamFailed:   http.StatusBadGateway,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown:   http.StatusBadGateway,
	CodeInFlight:         http.StatusConflict,
	CodeStopping:         http.StatusServiceUnavailable,
	CodeInternal:         http.StatusInternalServerError,
}

// Problem is the error response to a caller, in JSON. Its fields are exported for the
// encoder.
type Problem struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"requestId"`
	// NotRun is true only if the work did not run and will not run.
	NotRun       bool    `json:"notRun"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	Outcome      Outcome `json:"outcome"`
}

// notRun returns a problem for work that did not run and will not run.
func notRun(code Code, message string) *Problem {
	return &Problem{Code: code, Message: message, NotRun: true, Outcome: OutcomeNotRun}
}

// stoppingProblem refuses a request because of the planned stop.
func stoppingProblem() *Problem {
	return notRun(CodeStopping, errStopping.Error()).withRetryAfter(stoppingRetryAfter)
}

// failed returns a problem for work that may have run in part.
func failed(code Code, message string) *Problem {
	return &Problem{Code: code, Message: message, Outcome: OutcomeFailed}
}

// withRetryAfter sets the time after which the caller should retry.
func (p *Problem) withRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMs = d.Milliseconds()
	return p
}

// Error returns the code and the message.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Message }

// Status returns the HTTP status of the problem.
func (p *Problem) Status() int {
	if status, ok := statusOf[p.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if p.RetryAfterMs > 0 {
		const millisecondsPerSecond = 1000
		header.Set("Retry-After", strconv.FormatInt((p.RetryAfterMs+millisecondsPerSecond-1)/millisecondsPerSecond, 10))
	}
	w.WriteHeader(p.Status())
	// An error means that the caller has disconnected; the request's log line has the
	// problem.
	_ = json.NewEncoder(w).Encode(p)
}
