package mcload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstandin"
)

// Outcome classifies how a caller's request ended.
type Outcome string

// The outcomes. The last three violate the guarantees of the product.
const (
	// OutcomeComplete means a complete answer.
	OutcomeComplete Outcome = "whole"
	// OutcomeRefused means an error answer which states that the request did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means a failure that was reported as such, by another error answer or by
	// an error event.
	OutcomeFailed Outcome = "failed"
	// OutcomeWrongPrompt means an answer to a different prompt.
	OutcomeWrongPrompt Outcome = "foreign"
	// OutcomeTruncated means a stream that ended with neither the end marker nor an error
	// event, or an error answer whose body could not be decoded.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeNoAnswer means no answer: the exchange failed, or no response header arrived until
	// some seconds after the deadline.
	OutcomeNoAnswer Outcome = "none"
)

const (
	bytesPerToken = 4
	// fillerBytes leaves room for a prompt of one million tokens (4 MB) at random offsets.
	fillerBytes = 8 << 20
	// outcomeGrace is the time after its deadline for which a caller still waits for an
	// outcome.
	outcomeGrace = 3 * time.Second
	// minRetryDelay is the pause before a retry of a caller that retries at once. It stands
	// for the round trip between a client and a data centre, a few milliseconds.
	minRetryDelay = 10 * time.Millisecond
)

type (
	// attemptResult is the result of one attempt, which is one HTTP exchange.
	attemptResult struct {
		outcome Outcome
		// firstToken is the time to first token from the start of this attempt,
		// sinceArrival from the start of the first attempt.
		firstToken   time.Duration
		sinceArrival time.Duration
		eventGaps    []time.Duration
		status       int
		code         string
	}

	// caller sends one request, with retries, until it has an outcome.
	caller struct {
		settings *Settings
		client   *http.Client
		balancer *balancer
		class    Class
		prompt   string
		seed     uint64
	}

	// errorBody holds the fields of an error answer that the load generator uses.
	errorBody struct {
		Code   string `json:"code"`
		NotRun bool   `json:"notRun"`
	}
)

// newFillerText returns random text from which prompts are cut.
func newFillerText(rng *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	var b strings.Builder
	b.Grow(fillerBytes)
	for range fillerBytes / bytesPerToken {
		for range bytesPerToken {
			b.WriteByte(letters[rng.IntN(len(letters))])
		}
	}
	return b.String()
}

// newPrompt cuts a prompt of the class from filler, with a log-uniform length. A random
// prefix makes all prompts distinct, so that an answer to another prompt is recognised.
func newPrompt(rng *rand.Rand, filler string, class Class) string {
	low, high := math.Log(float64(class.MinTokens)), math.Log(float64(class.MaxTokens))
	tokens := int(math.Exp(low + rng.Float64()*(high-low)))
	prefix := fmt.Sprintf("%016x ", rng.Uint64())
	size := max(tokens*bytesPerToken-len(prefix), 1)
	offset := rng.IntN(len(filler) - size)
	return prefix + filler[offset:offset+size]
}

// run sends the request and, if the settings say so, retries refusals until the deadline or
// the limit of attempts. It returns the result of the last attempt and their number.
func (c *caller) run(ctx context.Context) (result attemptResult, attempts int) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.class.Deadline+outcomeGrace)
	defer cancel()
	body := c.body()
	for attempts = 1; ; attempts++ {
		elapsed := time.Since(start)
		result = c.attempt(ctx, body, attempts, c.class.Deadline-elapsed)
		result.sinceArrival = result.firstToken + elapsed
		if result.outcome != OutcomeRefused || !c.settings.RetryRefusals || attempts >= c.settings.MaxAttempts || time.Since(start) >= c.class.Deadline {
			return result, attempts
		}
		if !mcclock.Sleep(ctx, minRetryDelay) {
			return result, attempts
		}
	}
}

// body returns the request body for a streamed chat completion.
func (c *caller) body() []byte {
	body, err := json.Marshal(map[string]any{
		"model": c.settings.EngineModel, "messages": c.messages(), "max_tokens": c.class.OutputTokens, "stream": true,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}

func (c *caller) messages() []marigoldcroft.Message {
	return []marigoldcroft.Message{{Role: "user", Content: c.prompt}}
}

// attempt sends the request for the n-th time, with the remaining time as its deadline. Each
// attempt goes to the next ready target.
func (c *caller) attempt(ctx context.Context, body []byte, n int, remaining time.Duration) attemptResult {
	target := c.balancer.pickTarget(c.seed + uint64(n))
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return attemptResult{outcome: OutcomeNoAnswer}
	}
	r.Header.Set("Authorization", "Bearer "+c.settings.Key)
	r.Header.Set("X-Template", c.class.Template)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(max(1, remaining.Milliseconds())))
	if c.settings.EngineModel != "" {
		r.Header.Set("X-Request-Id", fmt.Sprintf("load-%x", c.seed))
		r.Header.Set("X-Attempt", fmt.Sprint(n))
	}
	response, err := c.client.Do(r)
	if err != nil {
		return attemptResult{outcome: OutcomeNoAnswer, code: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorResult(response)
	}
	result := c.readStream(response.Body, start)
	result.status = response.StatusCode
	return result
}

// errorResult classifies an answer with an error status.
func errorResult(response *http.Response) attemptResult {
	var body errorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return attemptResult{outcome: OutcomeTruncated, status: response.StatusCode}
	}
	outcome := OutcomeFailed
	if body.NotRun {
		outcome = OutcomeRefused
	}
	return attemptResult{outcome: outcome, status: response.StatusCode, code: body.Code}
}

// readStream consumes the event stream up to its end marker, an error event or the end of the
// body. The first token of a complete answer must contain the marker of the prompt.
func (c *caller) readStream(body io.Reader, start time.Time) attemptResult {
	result := attemptResult{outcome: OutcomeTruncated}
	marker := mcstandin.PromptHashToken(c.messages())
	scanner := bufio.NewScanner(body)
	last := start
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		failed = failed || strings.HasPrefix(line, "event: error")
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch {
		case failed:
			result.outcome = OutcomeFailed
			return result
		case data == "[DONE]":
			if result.outcome != OutcomeWrongPrompt {
				result.outcome = OutcomeComplete
			}
			return result
		case result.firstToken == 0:
			result.firstToken = time.Since(start)
			if !strings.Contains(data, marker) {
				result.outcome = OutcomeWrongPrompt
			}
		default:
			result.eventGaps = append(result.eventGaps, time.Since(last))
		}
		last = time.Now()
	}
	return result
}
