package mcgateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcquarantine"
)

const (
	maxMessages = 10000
	// defaultOutputTokens is the answer's limit when neither caller nor template sets one.
	defaultOutputTokens = 256
	// prefixHintBytes is how much of a prompt's start names its prefix for affinity.
	prefixHintBytes = 4096
	// writeGrace lets the error of a passed deadline reach a caller that reads.
	writeGrace = time.Second
)

// chatRequest is the callers' form of a request. Unknown fields are ignored, as
// clients send many optional ones.
type chatRequest struct {
	Model         string                  `json:"model"`
	Messages      []marigoldcroft.Message `json:"messages"`
	MaxTokens     int                     `json:"max_tokens"`
	MaxCompletion int                     `json:"max_completion_tokens"`
	Stream        bool                    `json:"stream"`
	Temperature   *float64                `json:"temperature"`
	Seed          *int64                  `json:"seed"`
}

// modelRequest is a checked request for a model.
type modelRequest struct {
	id string
	// origin is the id of the caller's request, also in its segments.
	origin   string
	team     marigoldcroft.Team
	template marigoldcroft.Template
	deadline time.Time
	messages []marigoldcroft.Message
	// promptTokens is estimated.
	promptTokens int64
	outputTokens int64
	temperature  *float64
	seed         *int64
	prefixHash   uint64
	// canonical is the request in the callers' form with the output limit filled in;
	// requests with the same one have the same answer as far as the engine allows.
	canonical   []byte
	fingerprint mcquarantine.Fingerprint
	// key is the caller's idempotency key, or "".
	key string
	// peerJoinKey is the peerJoinKey key that a peer handed on, or "".
	peerJoinKey string
	// segment is true for a part of a larger request.
	segment bool
	// hop counts the instances that handed the request on.
	hop int
	// isolated asks for an endpoint that no other suspect runs on.
	isolated bool
}

func (g *Gateway) serveChat(x *exchange) *Problem {
	request, stream, problem := g.decodeChat(x)
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), request.deadline)
	defer cancel()
	defer limitWriteTime(x.w, request.deadline)()
	if !stream {
		return g.answerWhole(ctx, x, request)
	}
	return g.answerStream(ctx, x, request)
}

// limitWriteTime keeps a caller that does not read from holding the request beyond its
// deadline. It returns the function that lifts the bound.
func limitWriteTime(w http.ResponseWriter, deadline time.Time) func() {
	control := http.NewResponseController(w)
	// Response writers without deadlines are those of tests, which need none.
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// decodeChat reads and checks the body within the limits.
func (g *Gateway) decodeChat(x *exchange) (*modelRequest, bool, *Problem) {
	body, problem := g.readBody(x)
	if problem != nil {
		return nil, false, problem
	}
	in, problem := parseChat(body)
	if problem != nil {
		return nil, false, problem
	}
	t, problem := template(x, in.Model)
	if problem != nil {
		return nil, false, problem
	}
	end, problem := deadline(x.r.Header, x.start, t)
	if problem != nil {
		return nil, false, problem
	}
	request, problem := g.checkChat(x.team, in, t, end)
	if problem != nil {
		return nil, false, problem
	}
	request.id, request.origin, request.key = x.id, x.id, x.r.Header.Get(headerKey)
	if len(request.key) > maxKeyBytes {
		return nil, false, notRun(CodeBadRequest, fmt.Sprintf("header %s: more than %d bytes", headerKey, maxKeyBytes))
	}
	return request, in.Stream, nil
}

// parseChat decodes a body in the callers' form; the problem names the field or place.
func parseChat(body []byte) (chatRequest, *Problem) {
	var in chatRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return chatRequest{}, notRun(CodeBadRequest, decodeErrorMessage(err))
	}
	return in, nil
}

// decodeErrorMessage names the field or the place in the body that cannot be decoded.
func decodeErrorMessage(err error) string {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return fmt.Sprintf("%s: a %s is not allowed here", cmp.Or(typed.Field, "body"), typed.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("body: no JSON at byte %d: %v", syntax.Offset, syntax)
	}
	return "body: " + err.Error()
}

func (g *Gateway) readBody(x *exchange) ([]byte, *Problem) {
	control := http.NewResponseController(x.w)
	// Response writers without deadlines are those of tests, which need none.
	_ = control.SetReadDeadline(time.Now().Add(g.Limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, g.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("body: more than %d bytes", g.Limits.MaxBodyBytes))
	}
	if err != nil {
		return nil, notRun(CodeBadRequest, "body: not received within "+g.Limits.BodyReadTimeout.String())
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (g *Gateway) checkChat(team marigoldcroft.Team, in chatRequest, t marigoldcroft.Template, end time.Time) (*modelRequest, *Problem) {
	if t.Model() == "" {
		return nil, notRun(CodeBadRequest, "template "+t.Name()+" is for the service "+t.Service()+", not for a model")
	}
	if len(in.Messages) == 0 || len(in.Messages) > maxMessages {
		return nil, notRun(CodeBadRequest, fmt.Sprintf("messages: 1 to %d are allowed, got %d", maxMessages, len(in.Messages)))
	}
	output, problem := outputTokens(in, t)
	if problem != nil {
		return nil, problem
	}
	messages := in.Messages
	if t.SystemPrompt() != "" {
		messages = append([]marigoldcroft.Message{{Role: "system", Content: t.SystemPrompt()}}, messages...)
	}
	request := &modelRequest{
		team: team, template: t, deadline: end, messages: messages,
		promptTokens: g.tokens.estimate(t.Model(), messages), outputTokens: output,
		temperature: in.Temperature, seed: in.Seed, prefixHash: prefixHint(messages),
	}
	if limit := t.MaxPromptTokens(); limit > 0 && request.promptTokens > int64(limit) {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("messages: about %d tokens, template %s allows %d", request.promptTokens, t.Name(), limit))
	}
	if problem := request.canonicalize(in); problem != nil {
		return nil, problem
	}
	return request, nil
}

// canonicalize derives what tells the request from others of its team.
func (r *modelRequest) canonicalize(in chatRequest) *Problem {
	canonical, err := json.Marshal(chatRequest{
		Model: r.template.Name(), Messages: in.Messages, MaxTokens: int(r.outputTokens),
		Temperature: in.Temperature, Seed: in.Seed,
	})
	if err != nil {
		return notRun(CodeBadRequest, "body: "+err.Error())
	}
	r.canonical = canonical
	r.fingerprint = mcquarantine.FingerprintOf(r.team.Name(), canonical)
	return nil
}

func outputTokens(in chatRequest, t marigoldcroft.Template) (int64, *Problem) {
	limit := t.MaxOutputTokens()
	if limit == 0 {
		limit = defaultOutputTokens
	}
	asked := max(in.MaxTokens, in.MaxCompletion)
	if in.MaxTokens < 0 || in.MaxCompletion < 0 {
		return 0, notRun(CodeBadRequest, "max_tokens: must not be negative")
	}
	if asked > limit {
		return 0, notRun(CodeBadRequest, fmt.Sprintf("max_tokens: %d is over the limit %d of template %s", asked, limit, t.Name()))
	}
	if asked == 0 {
		asked = limit
	}
	return int64(asked), nil
}

func prefixHint(messages []marigoldcroft.Message) uint64 {
	h := xxhash.New()
	left := prefixHintBytes
	for _, m := range messages {
		part := m.Content[:min(left, len(m.Content))]
		// A hash never fails to write.
		_, _ = h.WriteString(part)
		left -= len(part)
		if left == 0 {
			return h.Sum64()
		}
	}
	return 0
}
