package mcgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	maxMessages = 10000
	// defaultOutputTokens is the answer's limit when neither caller nor template sets one.
	defaultOutputTokens = 256
	// prefixHintBytes is how much of a prompt's start names its prefix for affinity.
	prefixHintBytes = 4096
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
	id       string
	team     marigoldcroft.Team
	template marigoldcroft.Template
	deadline time.Time
	messages []marigoldcroft.Message
	// promptTokens is estimated.
	promptTokens int64
	outputTokens int64
	temperature  *float64
	seed         *int64
	prefix       uint64
}

func (g *Gateway) serveChat(x *exchange) *Problem {
	request, stream, problem := g.decodeChat(x)
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), request.deadline)
	defer cancel()
	if !stream {
		return g.answerWhole(ctx, x, request)
	}
	return g.answerStream(ctx, x, request)
}

// decodeChat reads and checks the body within the limits.
func (g *Gateway) decodeChat(x *exchange) (*modelRequest, bool, *Problem) {
	body, problem := g.readBody(x)
	if problem != nil {
		return nil, false, problem
	}
	var in chatRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, false, notRun(CodeBadRequest, "body: "+err.Error())
	}
	t, problem := template(x, in.Model)
	if problem != nil {
		return nil, false, problem
	}
	request, problem := g.checkChat(x, in, t)
	return request, in.Stream, problem
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

func (g *Gateway) checkChat(x *exchange, in chatRequest, t marigoldcroft.Template) (*modelRequest, *Problem) {
	if t.Model() == "" {
		return nil, notRun(CodeBadRequest, "template "+t.Name()+" is for the service "+t.Service()+", not for a model")
	}
	if len(in.Messages) == 0 || len(in.Messages) > maxMessages {
		return nil, notRun(CodeBadRequest, fmt.Sprintf("messages: 1 to %d are allowed, got %d", maxMessages, len(in.Messages)))
	}
	end, problem := deadline(x.r.Header, x.start, t)
	if problem != nil {
		return nil, problem
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
		id: x.id, team: x.team, template: t, deadline: end, messages: messages,
		promptTokens: g.tokens.estimate(t.Model(), messages), outputTokens: output,
		temperature: in.Temperature, seed: in.Seed, prefix: prefixHint(messages),
	}
	if limit := t.MaxPromptTokens(); limit > 0 && request.promptTokens > int64(limit) {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("messages: about %d tokens, template %s allows %d", request.promptTokens, t.Name(), limit))
	}
	return request, nil
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
