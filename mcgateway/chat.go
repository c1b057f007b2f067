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
	"marigoldcroft/mcsocket"
	"marigoldcroft/mcstop"
)

const (
	maxMessages = 10000
	// defaultOutputTokens limits the answer if neither the caller nor the template does.
	defaultOutputTokens = 256
	// prefixHintBytes is the length of the start of a prompt whose hash is used for
	// prefix affinity.
	prefixHintBytes = 4096
)

// chatRequest is a request body of the callers' API. Unknown fields are ignored, as
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

// modelRequest is a validated request for a model.
type modelRequest struct {
	id string
	// origin is the ID of the caller's request; its segments share it.
	origin   string
	team     marigoldcroft.Team
	template marigoldcroft.Template
	deadline time.Time
	messages []marigoldcroft.Message
	// promptTokens is an estimate.
	promptTokens int64
	outputTokens int64
	temperature  *float64
	seed         *int64
	prefixHash   uint64
	// canonical is the request body in the format of the callers' API with the output
	// limit filled in. Requests with equal canonical bodies get equal answers if the
	// engine is deterministic.
	canonical   []byte
	fingerprint mcquarantine.Fingerprint
	// parts are the fingerprints of the messages that other prompts may share.
	parts []mcquarantine.Fingerprint
	// splitPart has the fingerprints of the message of which a segment has only a piece, if any.
	splitPart []mcquarantine.Fingerprint
	// key is the caller's idempotency key, or empty.
	key string
	// peerJoinKey is the join key that the forwarding peer sent, or empty.
	peerJoinKey string
	// segment is true for a part of an oversized request.
	segment bool
	// hop counts how often instances forwarded the request.
	hop int
	// isolated asks for an endpoint on which no other crash suspect runs.
	isolated bool
}

func (g *Gateway) serveChat(x *exchange) *Problem {
	request, stream, problem := g.decodeChat(x)
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), request.deadline)
	defer cancel()
	mcsocket.LimitWrite(x.w, request.deadline)
	if !stream {
		return g.answerWhole(ctx, x, request)
	}
	return g.answerStream(ctx, x, request)
}

// decodeChat reads and validates the request body within the limits.
func (g *Gateway) decodeChat(x *exchange) (*modelRequest, bool, *Problem) {
	body, problem := g.readBody(x)
	if problem != nil {
		return nil, false, problem
	}
	in, problem := parseChat(body)
	if problem != nil {
		return nil, false, problem
	}
	t, problem := selectTemplate(x, in.Model)
	if problem != nil {
		return nil, false, problem
	}
	deadline, problem := requestDeadline(x.r.Header, x.start, t)
	if problem != nil {
		return nil, false, problem
	}
	request, problem := g.checkChat(x.team, in, t, deadline)
	if problem != nil {
		return nil, false, problem
	}
	request.id, request.origin, request.key = x.id, x.id, x.r.Header.Get(headerKey)
	if len(request.key) > maxKeyBytes {
		return nil, false, notRun(CodeBadRequest, fmt.Sprintf("header %s: more than %d bytes", headerKey, maxKeyBytes))
	}
	return request, in.Stream, nil
}

// parseChat decodes a request body; the problem names the field or position of an error.
func parseChat(body []byte) (chatRequest, *Problem) {
	var in chatRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return chatRequest{}, notRun(CodeBadRequest, decodeErrorMessage(err))
	}
	return in, nil
}

// decodeErrorMessage names the field or position in the body that cannot be decoded.
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
	endLimit := g.stop.LimitRead(x.w, time.Now().Add(g.Limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, g.Limits.MaxBodyBytes))
	endLimit(err != nil)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("body: more than %d bytes", g.Limits.MaxBodyBytes))
	}
	if errors.Is(err, mcstop.ErrRejected) {
		x.w.Header().Set("Connection", "close")
		return nil, notRun(CodeOverloaded, err.Error()).withRetryAfter(time.Second)
	}
	if err != nil && (g.stop.IsOver(time.Now()) || g.stop.RefusesNew()) {
		return nil, stoppingProblem()
	}
	if err != nil {
		return nil, notRun(CodeBadRequest, "body: not received within "+g.Limits.BodyReadTimeout.String())
	}
	if g.stop.RefusesNew() {
		return nil, stoppingProblem()
	}
	return body, nil
}

func (g *Gateway) checkChat(team marigoldcroft.Team, in chatRequest, t marigoldcroft.Template, deadline time.Time) (*modelRequest, *Problem) {
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
		team: team, template: t, deadline: deadline, messages: messages,
		promptTokens: g.tokens.estimate(t.Model(), messages), outputTokens: output,
		temperature: in.Temperature, seed: in.Seed, prefixHash: prefixHint(messages), parts: sharedParts(t.Model(), messages),
	}
	if limit := t.MaxPromptTokens(); limit > 0 && request.promptTokens > int64(limit) {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("messages: about %d tokens, template %s allows %d", request.promptTokens, t.Name(), limit))
	}
	if problem := request.canonicalize(in); problem != nil {
		return nil, problem
	}
	return request, nil
}

// canonicalize sets the canonical body and the fingerprint, which distinguish the request
// from others of its team.
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

// prefixHint returns the hash of the start of the prompt, or 0 if the prompt is shorter
// than prefixHintBytes.
func prefixHint(messages []marigoldcroft.Message) uint64 {
	h := xxhash.New()
	left := prefixHintBytes
	for _, m := range messages {
		part := m.Content[:min(left, len(m.Content))]
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		left -= len(part)
		if left == 0 {
			return h.Sum64()
		}
	}
	return 0
}
