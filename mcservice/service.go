// Package mcservice is an HTTP client for plain services.
package mcservice

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcsocket"
)

// Kind is the kind of a service error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of service errors.
const (
	// KindNotSent means that no byte of the call reached the service;
	// marigoldcroft.NotSent reports true for it.
	KindNotSent Kind = "not sent"
	// KindAnswerLost means that the call was or may have been sent and that no complete answer
	// was received.
	KindAnswerLost Kind = "answer lost"
	// KindTooLarge means that the answer exceeds the size limit; the call has run.
	KindTooLarge Kind = "answer too large"
	// KindMalformed means that the answer to a query cannot be decoded, or that an endpoint
	// offers no load report.
	KindMalformed Kind = "malformed answer"
)

const (
	// IdempotencyKeyHeader carries the idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader carries the request ID.
	RequestIDHeader = "X-Request-Id"

	loadPath   = "/v1/load"
	statusPath = "/v1/status"

	defaultCallTimeout    = time.Minute
	defaultQueryTimeout   = 2 * time.Second
	defaultDialTimeout    = time.Second
	defaultMaxBodyBytes   = 16 << 20
	defaultMaxAnswerBytes = 16 << 20
	maxQueryBytes         = 1 << 20
)

type (
	// Config holds the limits of a Client; zero fields mean the defaults.
	Config struct {
		// CallTimeout bounds one call, 1 min by default.
		CallTimeout time.Duration
		// QueryTimeout bounds a load report or a status query, 2 s by default.
		QueryTimeout time.Duration
		// DialTimeout bounds the connection setup, 1 s by default.
		DialTimeout time.Duration
		// MaxBodyBytes and MaxAnswerBytes bound bodies, 16 MiB each by default.
		MaxBodyBytes, MaxAnswerBytes int64
		// Wrap adds a layer such as tracing to the transport; it may be nil. The layer
		// must not retry calls.
		Wrap func(http.RoundTripper) http.RoundTripper
	}

	// Client calls plain services over HTTP. It implements marigoldcroft.Service.
	Client struct {
		cfg  Config
		http *http.Client
	}

	// CallStatus is the response to a status query: the service's answer to the call with
	// the key.
	CallStatus struct {
		Status      int    `json:"status"`
		ContentType string `json:"contentType"`
		Body        []byte `json:"body"`
	}

	// notSent wraps the cause of an error of KindNotSent.
	notSent struct{ error }

	// unreplayableBody is a request body that the transport cannot send a second time.
	unreplayableBody struct{ io.Reader }
)

// NotSent reports true.
func (notSent) NotSent() bool { return true }

// Unwrap returns the cause.
func (n notSent) Unwrap() error { return n.error }

// Close does nothing.
func (unreplayableBody) Close() error { return nil }

// hopByHopHeaders apply to one connection and are not passed on (RFC 9110, section
// 7.6.1). Content-Length is removed as well, as it is set from the body's length.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	setDefault(&cfg.CallTimeout, defaultCallTimeout)
	setDefault(&cfg.QueryTimeout, defaultQueryTimeout)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	setDefault(&cfg.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&cfg.MaxAnswerBytes, defaultMaxAnswerBytes)
	// The environment's proxy settings are ignored, as services are addressed by IP.
	var transport http.RoundTripper = &http.Transport{
		DialContext:         mcsocket.ReportResets((&net.Dialer{Timeout: cfg.DialTimeout}).DialContext),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: mcsocket.MaxResponseHeaderBytes,
	}
	if cfg.Wrap != nil {
		transport = cfg.Wrap(transport)
	}
	return &Client{cfg: cfg, http: mcsocket.NewClient(transport)}
}

func setDefault[T ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// send sends the request and returns the complete answer. An error before a connection
// was available is of KindNotSent.
func (c *Client) send(operation string, request *http.Request, maxBytes int64) (marigoldcroft.ServiceAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && !connected.Load() {
		return marigoldcroft.ServiceAnswer{}, notSentFailure(operation, err)
	}
	if err != nil {
		return marigoldcroft.ServiceAnswer{}, marigoldcroft.NewFailure(operation, KindAnswerLost, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return marigoldcroft.ServiceAnswer{}, marigoldcroft.NewFailure(operation, KindAnswerLost, err)
	}
	if int64(len(body)) > maxBytes {
		return marigoldcroft.ServiceAnswer{}, marigoldcroft.NewFailure(operation, KindTooLarge,
			errors.Newf("the answer is larger than %d bytes", maxBytes))
	}
	for _, name := range hopByHopHeaders {
		response.Header.Del(name)
	}
	return marigoldcroft.ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func notSentFailure(operation string, err error) error {
	return marigoldcroft.NewFailure(operation, KindNotSent, notSent{err})
}

var _ marigoldcroft.Service = (*Client)(nil)
