package marigoldcroft

import (
	"context"
	"time"
)

// Priority orders requests within an engine; larger numbers run first.
type Priority int

// StreamID identifies one attempt of one request and the engine stream that runs it.
type StreamID struct {
	request string
	attempt int
}

// NewStreamID returns the id of an attempt of a request; attempts are numbered from 1.
func NewStreamID(request string, attempt int) StreamID {
	return StreamID{request: request, attempt: attempt}
}

// Request returns the request id.
func (s StreamID) Request() string { return s.request }

// Attempt returns the number of the attempt, from 1.
func (s StreamID) Attempt() int { return s.attempt }

// Message is one message of a chat prompt, as in the callers' requests.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest is one attempt to be run by an engine.
type GenerateRequest struct {
	Stream StreamID
	// Owner is the process that sends the attempt, as returned by Identity.Owner.
	Owner           string
	Model           string
	Messages        []Message
	MaxOutputTokens int
	Priority        Priority
	// Temperature and Seed are nil if the caller did not set them.
	Temperature *float64
	Seed        *int64
}

// TokenEvent is one event of a streamed answer.
type TokenEvent struct {
	// Sequence numbers the events of one stream from 0 without gaps.
	Sequence uint64
	Text     string
	// Finish is the finish reason, "stop" or "length". It is set on the last event only.
	Finish string
	// PromptTokens and OutputTokens are the engine's token counts, and CachedTokens the
	// prompt tokens that it had cached. They are set on the last event only.
	PromptTokens int
	OutputTokens int
	CachedTokens int
}

// TokenStream reads a streamed answer. Next returns io.EOF only after an event with Finish
// set and the engine's end marker; it returns another error if the stream ends otherwise.
type TokenStream interface {
	Next() (TokenEvent, error)
	Close() error
}

// LoadReport is an endpoint's report of its own load.
type LoadReport struct {
	Endpoint string `json:"endpoint"`
	// Incarnation increases with each restart of the endpoint.
	Incarnation uint64 `json:"incarnation"`
	// Time is the time of the report by the endpoint's clock.
	Time             time.Time `json:"time"`
	Running          int       `json:"running"`
	Waiting          int       `json:"waiting"`
	PrefillTokens    int64     `json:"prefillTokens"`
	KVUsedTokens     int64     `json:"kvUsedTokens"`
	KVCapacityTokens int64     `json:"kvCapacityTokens"`
	Leaving          bool      `json:"leaving"`
}

// EngineStream is an entry of an engine's list of running streams.
type EngineStream struct {
	ID        string `json:"id"`
	Attempt   int    `json:"attempt"`
	Owner     string `json:"owner"`
	AgeMs     int64  `json:"ageMs"`
	KVTokens  int64  `json:"kvTokens"`
	Delivered uint64 `json:"delivered"`
}

// Order is a desired state that an endpoint is told to reach: models, adapter, version and
// role.
type Order struct {
	// FencingToken is the fencing token of the order: the epoch of the lease that the sender holds.
	// An endpoint that checks it rejects an order with a lower token than it has received.
	FencingToken uint64   `json:"fencing"`
	Models       []string `json:"models,omitempty"`
	Adapter      string   `json:"adapter,omitempty"`
	Version      string   `json:"version,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// EngineQuery reads the state of engines.
type EngineQuery interface {
	Load(ctx context.Context, endpoint Endpoint) (LoadReport, error)
	Streams(ctx context.Context, endpoint Endpoint) ([]EngineStream, error)
	Orders(ctx context.Context, endpoint Endpoint) (Order, error)
}

// EngineCommand starts and ends work on engines and sends orders to them.
type EngineCommand interface {
	Generate(ctx context.Context, endpoint Endpoint, request GenerateRequest) (TokenStream, error)
	// Resume continues a stream with the event whose Sequence is from.
	Resume(ctx context.Context, endpoint Endpoint, id StreamID, from uint64) (TokenStream, error)
	Cancel(ctx context.Context, endpoint Endpoint, id StreamID) error
	Order(ctx context.Context, endpoint Endpoint, order Order) error
}

// Engine is a client for all model engines.
type Engine interface {
	EngineQuery
	EngineCommand
}
