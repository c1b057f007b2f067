// Package mcengine is an HTTP client for model engines.
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
	"marigoldcroft/mcsocket"
)

// Kind is the kind of an engine error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of engine errors.
const (
	// KindUnreachable means that no connection could be established, so nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the engine rejected the request because of load and did not start
	// the work.
	KindRefused Kind = "refused"
	// KindFailed means that the engine responded with an error status that does not tell whether
	// the work started.
	KindFailed Kind = "failed"
	// KindInvalid means that the request itself is invalid; other engines will reject it too.
	KindInvalid Kind = "invalid request"
	// KindStreamBroken means that the stream ended before its end marker, or that a response was
	// cut off or malformed.
	KindStreamBroken Kind = "stream broken"
	// KindWrongEvent means that an event has the ID of another request or attempt, or is out of sequence.
	KindWrongEvent Kind = "answer of another stream"
	// KindStaleFencing means that the order's fencing token is older than the one that the engine holds.
	KindStaleFencing Kind = "stale fencing number"
	// KindNotFound means that the engine does not know the stream.
	KindNotFound Kind = "stream not found"
)

const (
	// controlTimeout bounds a call that is not a stream.
	controlTimeout = 2 * time.Second
	// maxControlBytes bounds the response body of a call that is not a stream.
	maxControlBytes = 4 << 20
	// maxErrorBytes bounds how much of an error response is quoted in the error message.
	maxErrorBytes = 512
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	// maxIdlePerEndpoint keeps enough idle connections for reuse at a load peak.
	maxIdlePerEndpoint = 256
)

// Client calls any model engine; it implements marigoldcroft.Engine.
type Client struct {
	// HTTP sends the requests. Its Timeout must be 0, as it includes the reading of the
	// body and would cut long streams.
	HTTP *http.Client
}

// NewTransport returns a transport for many concurrent streams to few hosts.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: mcsocket.MaxResponseHeaderBytes,
	}
}

// generateBody is the body of a generate request in the engine's API.
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

// Generate starts a stream. Cancelling ctx ends the stream.
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
	setStreamHeaders(r.Header, request.Stream)
	return c.openStream("generate on "+endpoint.Name(), r, request.Stream, 0)
}

// Resume continues a stream from the event with sequence from.
func (c *Client) Resume(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID, from uint64) (marigoldcroft.TokenStream, error) {
	query := url.Values{"id": {id.Request()}, "attempt": {strconv.Itoa(id.Attempt())}, "from": {strconv.FormatUint(from, 10)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint.Address()+"/v1/streams/resume?"+query.Encode(), nil)
	if err != nil {
		return nil, marigoldcroft.NewFailure("resume", KindInvalid, err)
	}
	return c.openStream("resume on "+endpoint.Name(), r, id, from)
}

func (c *Client) openStream(operation string, r *http.Request, id marigoldcroft.StreamID, from uint64) (marigoldcroft.TokenStream, error) {
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

// transportKind distinguishes a failed dial, after which nothing was sent, from a connection
// that broke later.
func transportKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindUnreachable
	}
	return KindStreamBroken
}

func statusFailure(operation string, response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		text = []byte(err.Error())
	}
	kind := KindFailed
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = KindRefused
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		kind = KindInvalid
	case http.StatusNotFound:
		kind = KindNotFound
	case http.StatusConflict:
		kind = KindStaleFencing
	}
	return marigoldcroft.NewFailure(operation, kind, errors.Newf("status %d: %s", response.StatusCode, bytes.TrimSpace(text)))
}

func setStreamHeaders(header http.Header, id marigoldcroft.StreamID) {
	header.Set("X-Request-Id", id.Request())
	header.Set("X-Attempt", strconv.Itoa(id.Attempt()))
}
