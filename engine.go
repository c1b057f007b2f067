package marigoldcroft

import (
	"context"
	"time"
)

// Priority orders work on an engine; engines run larger numbers first.
type Priority int

// StreamID binds an engine's stream to one attempt of one request.
type StreamID struct {
	request string
	attempt int
}

// NewStreamID returns the id of an attempt, counted from 1, of a request.
func NewStreamID(request string, attempt int) StreamID {
	return StreamID{request: request, attempt: attempt}
}

// Request returns the request id.
func (s StreamID) Request() string { return s.request }

// Attempt returns the number of the attempt, counted from 1.
func (s StreamID) Attempt() int { return s.attempt }

// Message is one message of a chat prompt, in the callers' form.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest is one attempt that an engine is asked to run.
type GenerateRequest struct {
	Stream          StreamID
	Owner           string
	Model           string
	Messages        []Message
	MaxOutputTokens int
	Priority        Priority
	// Temperature and Seed are nil when the caller set none.
	Temperature *float64
	Seed        *int64
}

// TokenEvent is one part of an engine's answer.
type TokenEvent struct {
	// Sequence counts the events of one stream from 0 without gaps.
	Sequence uint64
	Text     string
	// Finish is set on the last event only: "stop" or "length".
	Finish string
	// PromptTokens and OutputTokens are the engine's counts, set on the last event.
	PromptTokens int
	OutputTokens int
	CachedTokens int
}

// TokenStream reads an engine's answer. Next returns io.EOF only after an event with
// Finish set and the engine's end marker; any other end is an error.
type TokenStream interface {
	Next() (TokenEvent, error)
	Close() error
}

// LoadReport is what an endpoint said of its load at a time of its own clock.
type LoadReport struct {
	Endpoint string `json:"endpoint"`
	// Incarnation is larger after each restart of the endpoint.
	Incarnation      uint64    `json:"incarnation"`
	Time             time.Time `json:"time"`
	Running          int       `json:"running"`
	Waiting          int       `json:"waiting"`
	PrefillTokens    int64     `json:"prefillTokens"`
	KVUsedTokens     int64     `json:"kvUsedTokens"`
	KVCapacityTokens int64     `json:"kvCapacityTokens"`
	Leaving          bool      `json:"leaving"`
}

// EngineStream is one stream in an engine's own list.
type EngineStream struct {
	ID        string `json:"id"`
	Attempt   int    `json:"attempt"`
	Owner     string `json:"owner"`
	AgeMs     int64  `json:"ageMs"`
	KVTokens  int64  `json:"kvTokens"`
	Delivered uint64 `json:"delivered"`
}

// Order is a desired state that an endpoint is told to take.
type Order struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models,omitempty"`
	Adapter string   `json:"adapter,omitempty"`
	Version string   `json:"version,omitempty"`
	Role    string   `json:"role,omitempty"`
}

// EngineQuery reads from engines.
type EngineQuery interface {
	Load(ctx context.Context, endpoint Endpoint) (LoadReport, error)
	Streams(ctx context.Context, endpoint Endpoint) ([]EngineStream, error)
	Orders(ctx context.Context, endpoint Endpoint) (Order, error)
}

// EngineCommand changes what engines do.
type EngineCommand interface {
	Generate(ctx context.Context, endpoint Endpoint, request GenerateRequest) (TokenStream, error)
	// Resume continues a stream from the event with sequence from.
	Resume(ctx context.Context, endpoint Endpoint, id StreamID, from uint64) (TokenStream, error)
	Cancel(ctx context.Context, endpoint Endpoint, id StreamID) error
	Order(ctx context.Context, endpoint Endpoint, order Order) error
}

// Engine is a client of all model engines.
type Engine interface {
	EngineQuery
	EngineCommand
}
