// Package mcengine is the HTTP client of model engines.
package mcengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Kind is the kind of an engine error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of engine errors.
const (
	// KindUnreachable means that the connection failed before anything was sent.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the engine answered that it did not take the work.
	KindRefused Kind = "refused"
	// KindInvalid means that the engine refuses the request itself; another engine will too.
	KindInvalid Kind = "invalid request"
	// KindBroken means that the stream ended before its end marker.
	KindBroken Kind = "stream broken"
	// KindMismatch means that an event belongs to another request, attempt or place.
	KindMismatch Kind = "answer of another stream"
	// KindStale means that the order's fencing number is too old.
	KindStale Kind = "stale fencing number"
	// KindNotFound means that the engine does not know the stream.
	KindNotFound Kind = "stream not found"
)

const (
	// controlTimeout bounds a call that is not a stream.
	controlTimeout = 2 * time.Second
	// maxControlBytes bounds the answer of a call that is not a stream.
	maxControlBytes = 4 << 20
	// maxErrorBytes bounds how much of an error body goes into a message.
	maxErrorBytes = 512
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	// maxIdlePerEndpoint keeps connections open at the crest of a swing.
	maxIdlePerEndpoint = 256
)

// Client is a client of all model engines; it implements marigoldcroft.Engine.
type Client struct {
	// HTTP sends the requests; it must not have a timeout of its own, which would
	// cut long streams.
	HTTP *http.Client
}

// NewTransport returns a transport for many streams to few hosts.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// generateBody is the engine's request in its own form.
type generateBody struct {
	Model         string                  `json:"model"`
	Messages      []marigoldcroft.Message `json:"messages"`
	MaxTokens     int                     `json:"max_tokens"`
	Priority      int                     `json:"priority"`
	Temperature   *float64                `json:"temperature,omitempty"`
	Seed          *int64                  `json:"seed,omitempty"`
	Stream        bool                    `json:"stream"`
	StreamOptions streamOptions           `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Generate starts a stream. The context ends the stream when it ends.
func (c *Client) Generate(ctx context.Context, endpoint marigoldcroft.Endpoint, request marigoldcroft.GenerateRequest) (marigoldcroft.TokenStream, error) {
	body, err := json.Marshal(generateBody{
		Model: request.Model, Messages: request.Messages, MaxTokens: request.MaxOutputTokens,
		Priority: int(request.Priority), Temperature: request.Temperature, Seed: request.Seed,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, marigoldcroft.NewFailure("generate", KindInvalid, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint.Address()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, marigoldcroft.NewFailure("generate", KindInvalid, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Owner", request.Owner)
	setStream(r.Header, request.Stream)
	return c.open("generate on "+endpoint.Name(), r, request.Stream, 0)
}

// Resume continues a stream from the event with sequence from.
func (c *Client) Resume(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID, from uint64) (marigoldcroft.TokenStream, error) {
	query := url.Values{"id": {id.Request()}, "attempt": {strconv.Itoa(id.Attempt())}, "from": {strconv.FormatUint(from, 10)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.Address()+"/v1/streams/resume?"+query.Encode(), nil)
	if err != nil {
		return nil, marigoldcroft.NewFailure("resume", KindInvalid, err)
	}
	return c.open("resume on "+endpoint.Name(), r, id, from)
}

func (c *Client) open(operation string, r *http.Request, id marigoldcroft.StreamID, from uint64) (marigoldcroft.TokenStream, error) {
	response, err := c.HTTP.Do(r)
	if err != nil {
		return nil, marigoldcroft.NewFailure(operation, transportKind(err), err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusFailure(operation, response)
	}
	return newStream(operation, response.Body, id, from), nil
}

// transportKind tells a failed dial, after which nothing was sent, from a broken exchange.
func transportKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindUnreachable
	}
	return KindBroken
}

func statusFailure(operation string, response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		text = []byte(err.Error())
	}
	kind := KindRefused
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		kind = KindInvalid
	case http.StatusNotFound:
		kind = KindNotFound
	case http.StatusConflict:
		kind = KindStale
	}
	return marigoldcroft.NewFailure(operation, kind, errors.Newf("status %d: %s", response.StatusCode, bytes.TrimSpace(text)))
}

func setStream(header http.Header, id marigoldcroft.StreamID) {
	header.Set("X-Request-Id", id.Request())
	header.Set("X-Attempt", strconv.Itoa(id.Attempt()))
}
