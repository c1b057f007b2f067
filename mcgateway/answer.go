package mcgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type (
	// wholeSink collects an answer that is sent in one piece.
	wholeSink struct {
		textSink

		started          bool
		recordFirstToken func()
	}

	// streamSink sends an answer as server-sent events as it arrives.
	streamSink struct {
		w                http.ResponseWriter
		id               string
		model            string
		started          bool
		flusher          http.Flusher
		recordFirstToken func()
	}

	// answerChunk is a complete answer, or one event of a streamed one, in the format of
	// the callers' API.
	answerChunk struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Model   string         `json:"model"`
		Choices []answerChoice `json:"choices"`
		Usage   *answerUsage   `json:"usage,omitempty"`
	}

	answerChoice struct {
		Index        int            `json:"index"`
		Delta        *answerMessage `json:"delta,omitempty"`
		Message      *answerMessage `json:"message,omitempty"`
		FinishReason *string        `json:"finish_reason"`
	}

	answerMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	answerUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

func (s *wholeSink) onFirstToken() {
	if !s.started {
		s.started = true
		s.recordFirstToken()
	}
}

func (s *streamSink) token(text string) error {
	if !s.started {
		s.start()
	}
	chunk := answerChunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.model,
		Choices: []answerChoice{{Delta: &answerMessage{Content: text}}},
	}
	return s.writeEvent("", chunk)
}

func (s *streamSink) start() {
	s.started = true
	s.recordFirstToken()
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// writeEvent sends one server-sent event; the name is empty for an event without a type.
func (s *streamSink) writeEvent(name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	if _, err := fmt.Fprintf(s.w, "%sdata: %s\n\n", name, text); err != nil {
		return err
	}
	s.flusher.Flush()
	return nil
}

// finish sends the last event and the end marker, which only a complete answer has.
func (s *streamSink) finish(end answerEnd) {
	if !s.started {
		s.start()
	}
	chunk := answerChunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.model,
		Choices: []answerChoice{{Delta: &answerMessage{}, FinishReason: &end.finish}}, Usage: usageOf(end),
	}
	if s.writeEvent("", chunk) == nil {
		s.writeEndMarker()
	}
}

// writeEndMarker sends the marker that ends a complete answer.
func (s *streamSink) writeEndMarker() {
	// An error means that the caller has disconnected; it is ignored.
	_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
	s.flusher.Flush()
}

func usageOf(end answerEnd) *answerUsage {
	return &answerUsage{
		PromptTokens: end.promptTokens, CompletionTokens: end.outputTokens,
		TotalTokens: end.promptTokens + end.outputTokens,
	}
}

// firstToken returns a function that records the time to first token; sinks call it once.
func (g *Gateway) firstToken(x *exchange, request *modelRequest) func() {
	return func() {
		g.Metrics.FirstToken.WithLabelValues(lengthClass(request.promptTokens), request.template.Urgency().String()).
			Observe(time.Since(x.start).Seconds())
	}
}

// lengthClass returns the metric label for the length of a prompt.
func lengthClass(tokens int64) string {
	switch {
	case tokens <= 4_000:
		return "upTo4k"
	case tokens <= 32_000:
		return "upTo32k"
	case tokens <= 100_000:
		return "upTo100k"
	}
	return "over100k"
}

func (g *Gateway) answerWhole(ctx context.Context, x *exchange, request *modelRequest) *Problem {
	out := &wholeSink{recordFirstToken: g.firstToken(x, request)}
	end, problem := g.execute(ctx, x, request, out)
	if problem != nil {
		return problem
	}
	x.w.Header().Set("Content-Type", "application/json")
	answer := answerChunk{
		ID: request.id, Object: "chat.completion", Model: request.template.Model(),
		Choices: []answerChoice{{Message: &answerMessage{Role: "assistant", Content: out.text.String()}, FinishReason: &end.finish}},
		Usage:   usageOf(end),
	}
	// An error means that the caller has disconnected; it is ignored.
	_ = json.NewEncoder(x.w).Encode(answer)
	return nil
}

func (g *Gateway) answerStream(ctx context.Context, x *exchange, request *modelRequest) *Problem {
	flusher, ok := x.w.(http.Flusher)
	if !ok {
		return notRun(CodeInternal, "streaming is not possible on this connection")
	}
	out := &streamSink{w: x.w, id: request.id, model: request.template.Model(), flusher: flusher, recordFirstToken: g.firstToken(x, request)}
	end, problem := g.execute(ctx, x, request, out)
	if problem == nil {
		out.finish(end)
		return nil
	}
	if !out.started {
		return problem
	}
	problem.RequestID = x.id
	x.streamed = true
	// An error means that the caller has disconnected; it is ignored.
	_ = out.writeEvent("error", map[string]*Problem{"error": problem})
	return problem
}
