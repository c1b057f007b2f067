package mcforward

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

type (
	// problem is an error response made by this instance rather than an endpoint.
	problem struct {
		status     int
		reason     string
		retryAfter time.Duration
		// closeConnection closes the connection after the response, as the rest of the
		// request was not read.
		closeConnection bool
	}

	// callResult is the result of a call, for its log line and metrics.
	callResult struct {
		status     int
		outcome    string
		reason     string
		retryAfter time.Duration
		// abort is true when the response had begun and is incomplete.
		abort bool
	}

	// problemBody is the JSON body of an error response made by this instance.
	problemBody struct {
		Error  string `json:"error"`
		NotRun bool   `json:"notRun"`
	}
)

// Outcomes of a call.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeCallerLeft = "callerLeft"
	outcomeBrokenOff  = "brokenOff"
)

// code returns the code label of the request metric.
func (r callResult) code() string {
	if r.outcome == outcomeAnswered && r.status < http.StatusBadRequest {
		return "ok"
	}
	return r.outcome
}

// stoppingProblem refuses a request because of the planned stop. Other instances can serve the
// caller.
func stoppingProblem() *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: "this instance is stopping", retryAfter: stoppingRetryAfter}
}

// refuse responds to a request that did not run and will not, and says so in the response.
func (c *call) refuse(p problem) callResult {
	c.write(p, true)
	return callResult{status: p.status, outcome: outcomeRefused, reason: p.reason, retryAfter: p.retryAfter}
}

// fail responds to a request that may have run, with a status from which the caller does
// not conclude that it did not run.
func (c *call) fail(status int, reason string) callResult {
	c.write(problem{status: status, reason: reason}, false)
	return callResult{status: status, outcome: outcomeFailed, reason: reason}
}

func (c *call) write(p problem, notRun bool) {
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	if p.retryAfter > 0 {
		seconds := math.Ceil(p.retryAfter.Seconds()*1000) / 1000
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	if p.closeConnection {
		header.Set("Connection", "close")
	}
	// Encoding a string and a bool cannot fail.
	body, _ := json.Marshal(problemBody{Error: p.reason, NotRun: notRun})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(p.status)
	// The error is ignored: a caller that has left cannot be told.
	_, _ = c.w.Write(body)
}
