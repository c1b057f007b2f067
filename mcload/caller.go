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

// Outcome is how one caller's request ended.
type Outcome string

// The outcomes. The last three break a promise.
const (
	OutcomeWhole   Outcome = "whole"
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is an honest failure: an error answer or an error event.
	OutcomeFailed Outcome = "failed"
	// OutcomeForeign is an answer to another prompt.
	OutcomeForeign Outcome = "foreign"
	// OutcomeTruncated is an answer that ends without end marker or error event.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeNone is no answer until well after the deadline.
	OutcomeNone Outcome = "none"
)

const (
	bytesPerToken = 4
	// fillerBytes holds a prompt of a million tokens at any offset.
	fillerBytes = 8 << 20
	// grace is how long after its deadline a caller still waits for an outcome.
	grace = 3 * time.Second
	// minRetryPause is the shortest time between two tries of one caller that retries
	// at once: the round trip between clients and a data centre takes a few milliseconds.
	minRetryPause = 10 * time.Millisecond
)

type (
	// try is the result of one HTTP exchange.
	try struct {
		outcome Outcome
		// firstToken counts from the start of this try, sinceArrival from the first one.
		firstToken   time.Duration
		sinceArrival time.Duration
		gaps         []time.Duration
		status       int
		code         string
	}

	// caller sends one request until it has an outcome.
	caller struct {
		settings *Settings
		client   *http.Client
		balancer *balancer
		class    Class
		prompt   string
		seed     uint64
	}

	errorBody struct {
		Code   string `json:"code"`
		NotRun bool   `json:"notRun"`
	}
)

// newFiller returns text that prompts are cut from.
func newFiller(rng *rand.Rand) string {
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

// newPrompt cuts a prompt of the class from filler; no two prompts are equal.
func newPrompt(rng *rand.Rand, filler string, class Class) string {
	low, high := math.Log(float64(class.MinTokens)), math.Log(float64(class.MaxTokens))
	tokens := int(math.Exp(low + rng.Float64()*(high-low)))
	head := fmt.Sprintf("%016x ", rng.Uint64())
	size := max(tokens*bytesPerToken-len(head), 1)
	offset := rng.IntN(len(filler) - size)
	return head + filler[offset:offset+size]
}

// run sends the request, and retries refusals if the settings say so.
func (c *caller) run(ctx context.Context) (result try, tries int) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.class.Deadline+grace)
	defer cancel()
	body := c.body()
	for tries = 1; ; tries++ {
		begun := time.Since(start)
		result = c.try(ctx, body, tries, c.class.Deadline-begun)
		result.sinceArrival = result.firstToken + begun
		if result.outcome != OutcomeRefused || !c.settings.RetryNow || tries >= c.settings.MaxTries || time.Since(start) >= c.class.Deadline {
			return result, tries
		}
		if !mcclock.Sleep(ctx, minRetryPause) {
			return result, tries
		}
	}
}

func (c *caller) body() []byte {
	body, err := json.Marshal(map[string]any{
		"model": c.settings.Direct, "messages": c.messages(), "max_tokens": c.class.OutputTokens, "stream": true,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}

func (c *caller) messages() []marigoldcroft.Message {
	return []marigoldcroft.Message{{Role: "user", Content: c.prompt}}
}

func (c *caller) try(ctx context.Context, body []byte, n int, left time.Duration) try {
	target := c.balancer.pick(c.seed + uint64(n))
	begun := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return try{outcome: OutcomeNone}
	}
	r.Header.Set("Authorization", "Bearer "+c.settings.Key)
	r.Header.Set("X-Template", c.class.Template)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(max(1, left.Milliseconds())))
	if c.settings.Direct != "" {
		r.Header.Set("X-Request-Id", fmt.Sprintf("load-%x", c.seed))
		r.Header.Set("X-Attempt", fmt.Sprint(n))
	}
	response, err := c.client.Do(r)
	if err != nil {
		return try{outcome: OutcomeNone, code: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	result := c.read(response.Body, begun)
	result.status = response.StatusCode
	return result
}

func refusal(response *http.Response) try {
	var body errorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return try{outcome: OutcomeTruncated, status: response.StatusCode}
	}
	outcome := OutcomeFailed
	if body.NotRun {
		outcome = OutcomeRefused
	}
	return try{outcome: outcome, status: response.StatusCode, code: body.Code}
}

// read follows the stream to its end marker, its error event or its end.
func (c *caller) read(body io.Reader, begun time.Time) try {
	result := try{outcome: OutcomeTruncated}
	mark := mcstandin.PromptHashToken(c.messages())
	lines := bufio.NewScanner(body)
	last := begun
	failed := false
	for lines.Scan() {
		line := lines.Text()
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
			if result.outcome != OutcomeForeign {
				result.outcome = OutcomeWhole
			}
			return result
		case result.firstToken == 0:
			result.firstToken = time.Since(begun)
			if !strings.Contains(data, mark) {
				result.outcome = OutcomeForeign
			}
		default:
			result.gaps = append(result.gaps, time.Since(last))
		}
		last = time.Now()
	}
	return result
}
