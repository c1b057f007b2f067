package mcstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// WriteIDHeader carries the id of a write in both directions.
	WriteIDHeader = "X-Write-Id"

	objectsPath = "/v1/objects/"
	listPath    = "/v1/objects"
	watchPath   = "/v1/watch/"
	// maxListBytes bounds the body of a list answer: 1,000 entries of the longest key.
	maxListBytes = 1 << 20
)

// HTTP is the object store behind its HTTP interface (docs/design.md, section 3).
type HTTP struct {
	// BaseURL is the address without a trailing slash, such as http://127.0.0.1:8080.
	BaseURL string
	// Client sends the calls; it must not follow redirects of writes. Nil means
	// a client of its own kind for the process.
	Client *http.Client
}

// response is an answer whose body was read in full.
type response struct {
	status int
	header http.Header
	body   []byte
}

// defaultClient ignores proxy settings of the environment: the store is addressed
// by IP and reached directly.
var defaultClient = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute},
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

// send returns the whole answer. The second result is false when no byte of the
// call can have reached the store.
func (h *HTTP) send(ctx context.Context, method, path string, header http.Header, body []byte, maxBytes int64) (response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, h.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	client := h.Client
	if client == nil {
		client = defaultClient
	}
	answer, err := client.Do(request)
	if err != nil {
		return response{}, sent.Load(), err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		err = errors.Newf("the answer is larger than %d bytes", maxBytes)
	}
	return response{status: answer.StatusCode, header: answer.Header, body: content}, true, err
}

// failure returns the error for an answer that is not a success; other is the kind
// of statuses that say nothing about the effect.
func failure(operation string, answer response, other Kind) error {
	kind := other
	switch answer.status {
	case http.StatusNotFound:
		kind = KindNotFound
	case http.StatusPreconditionFailed:
		kind = KindConflict
	case http.StatusRequestEntityTooLarge:
		kind = KindTooLarge
	case http.StatusBadRequest:
		kind = KindBadKey
	case http.StatusTooManyRequests:
		kind = KindUnavailable
	}
	return marigoldcroft.NewFailure(operation, kind, errors.Newf("status %d", answer.status))
}

func parseETag(header http.Header) marigoldcroft.Version {
	return marigoldcroft.Version(strings.Trim(header.Get("ETag"), `"`))
}
