package mcengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// initialLineBytes is the initial size of the line buffer.
	initialLineBytes = 4 << 10
	// maxLineBytes bounds one event of a stream, and the lines without an event between two
	// events.
	maxLineBytes = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
)

// stream reads server-sent events and checks that each belongs to the attempt and is the next
// in sequence.
type stream struct {
	operation string
	body      io.ReadCloser
	lines     *bufio.Scanner
	// id is "request/attempt", the ID that each event must have.
	id string
	// nextSequence is the sequence number that the nextSequence event must have.
	nextSequence uint64
	// finished is true once an event with a finish reason was received.
	finished bool
}

// chunk is one event in the engine's API.
type chunk struct {
	ID       string   `json:"id"`
	Sequence uint64   `json:"sequence"`
	Choices  []choice `json:"choices"`
	Usage    *usage   `json:"usage"`
}

type choice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

func newStream(operation string, body io.ReadCloser, id marigoldcroft.StreamID, from uint64) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &stream{
		operation: operation, body: body, lines: lines, nextSequence: from,
		id: fmt.Sprintf("%s/%d", id.Request(), id.Attempt()),
	}
}

// Next returns the next event. It returns io.EOF only after a finish reason and the
// end marker; a stream that ends otherwise gives an error of the kind
// KindStreamBroken.
func (s *stream) Next() (marigoldcroft.TokenEvent, error) {
	skipped := 0
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !ok {
			if skipped += len(s.lines.Bytes()) + 1; skipped > maxLineBytes {
				return marigoldcroft.TokenEvent{}, marigoldcroft.NewFailure(s.operation, KindStreamBroken, errors.Newf("no event in %d bytes", skipped))
			}
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, endMarker) {
			return marigoldcroft.TokenEvent{}, s.endError()
		}
		return s.decode(data)
	}
	cause := s.lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return marigoldcroft.TokenEvent{}, marigoldcroft.NewFailure(s.operation, KindStreamBroken, cause)
}

func (s *stream) endError() error {
	if !s.finished {
		return marigoldcroft.NewFailure(s.operation, KindStreamBroken, errors.New("end marker without a finish reason"))
	}
	return io.EOF
}

func (s *stream) decode(data []byte) (marigoldcroft.TokenEvent, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return marigoldcroft.TokenEvent{}, marigoldcroft.NewFailure(s.operation, KindStreamBroken, err)
	}
	if c.ID != s.id || c.Sequence != s.nextSequence {
		return marigoldcroft.TokenEvent{}, marigoldcroft.NewFailure(s.operation, KindWrongEvent,
			errors.Newf("event %d of %q where event %d of %q was due", c.Sequence, c.ID, s.nextSequence, s.id))
	}
	s.nextSequence++
	event := marigoldcroft.TokenEvent{Sequence: c.Sequence}
	if len(c.Choices) > 0 {
		event.Text = c.Choices[0].Delta.Content
		event.Finish = c.Choices[0].FinishReason
	}
	if c.Usage != nil {
		event.PromptTokens = c.Usage.PromptTokens
		event.OutputTokens = c.Usage.CompletionTokens
		event.CachedTokens = c.Usage.CachedTokens
	}
	s.finished = s.finished || event.Finish != ""
	return event, nil
}

// Close closes the connection; the engine cancels a stream that is not finished.
func (s *stream) Close() error { return s.body.Close() }
