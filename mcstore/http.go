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
	"marigoldcroft/mcsocket"
)

const (
	// WriteIDHeader carries the ID of a write in requests and responses.
	WriteIDHeader = "X-Write-Id"

	objectsPath = "/v1/objects/"
	listPath    = "/v1/objects"
	watchPath   = "/v1/watch/"
	// maxListBytes limits the body of a list response. It allows 1,000 entries with keys
	// of the maximum length.
	maxListBytes = 1 << 20
)

// HTTP accesses the object store over its HTTP API (docs/design.md, section 3).
type HTTP struct {
	// BaseURL is the address without a trailing slash, such as http://127.0.0.1:8080.
	BaseURL string
	// Client sends the requests. It must not follow redirects of writes. Nil means a
	// default client that is shared within the process.
	Client *http.Client
}

// response is an HTTP response whose body has been read in full.
type response struct {
	status int
	header http.Header
	body   []byte
}

// defaultClient ignores the proxy settings of the environment, since the store is reached
// directly by its IP address.
var defaultClient = mcsocket.NewClient(&http.Transport{
	MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: mcsocket.MaxResponseHeaderBytes,
})

// send sends a request and reads the whole response. The second result is false if no
// byte of the request can have reached the store.
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
	resp, err := client.Do(request)
	if err != nil {
		return response{}, sent.Load(), err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		err = errors.Newf("the answer is larger than %d bytes", maxBytes)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: content}, true, err
}

// statusFailure returns the error for an unsuccessful response. Its kind is fallback if the
// status does not show whether the call took effect.
func statusFailure(operation string, resp response, fallback Kind) error {
	kind := fallback
	switch resp.status {
	case http.StatusNotFound:
		kind = KindNotFound
	case http.StatusPreconditionFailed:
		kind = KindConflict
	case http.StatusRequestEntityTooLarge:
		kind = KindTooLarge
	case http.StatusBadRequest:
		kind = KindInvalidKey
	case http.StatusTooManyRequests:
		kind = KindUnavailable
	}
	return marigoldcroft.NewFailure(operation, kind, errors.Newf("status %d", resp.status))
}

func parseETag(header http.Header) marigoldcroft.Version {
	return marigoldcroft.Version(strings.Trim(header.Get("ETag"), `"`))
}
