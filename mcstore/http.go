package mcstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
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

// Get returns the object.
func (h *HTTP) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	return h.read(ctx, "get "+key, key, objectsPath+url.PathEscape(key))
}

// Watch returns the object as soon as its version differs from known, or after wait.
func (h *HTTP) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	query := url.Values{"version": {string(known)}, "waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return h.read(ctx, "watch "+key, key, watchPath+url.PathEscape(key)+"?"+query.Encode())
}

// List returns up to limit keys with the prefix that sort after the key after.
func (h *HTTP) List(ctx context.Context, prefix, after string, limit int) ([]marigoldcroft.ObjectEntry, error) {
	operation := "list " + prefix
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	answer, _, err := h.send(ctx, http.MethodGet, listPath+"?"+query.Encode(), nil, nil, maxListBytes)
	if err != nil {
		return nil, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	if answer.status != http.StatusOK {
		return nil, failure(operation, answer, KindUnavailable)
	}
	var entries []marigoldcroft.ObjectEntry
	if err := json.Unmarshal(answer.body, &entries); err != nil {
		return nil, marigoldcroft.NewFailure(operation, KindUnavailable, errors.Wrap(err, "malformed list"))
	}
	return entries, nil
}

// Put stores value if the current version is expected.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	operation := "put " + key
	if err := checkWrite(ctx, key, value); err != nil {
		return "", err
	}
	answer, err := h.write(ctx, operation, http.MethodPut, key, value, expected, writeID)
	if err != nil {
		return "", err
	}
	version := parseETag(answer.header)
	if version == "" {
		return "", marigoldcroft.NewFailure(operation, KindUnknown, errors.New("the answer has no ETag"))
	}
	return version, nil
}

// Delete removes the object if the current version is expected.
func (h *HTTP) Delete(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) error {
	if err := checkWrite(ctx, key, nil); err != nil {
		return err
	}
	_, err := h.write(ctx, "delete "+key, http.MethodDelete, key, nil, expected, writeID)
	return err
}

func (h *HTTP) read(ctx context.Context, operation, key, path string) (marigoldcroft.Object, error) {
	answer, _, err := h.send(ctx, http.MethodGet, path, nil, nil, maxValueBytes)
	if err != nil {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	}
	if answer.status != http.StatusOK {
		return marigoldcroft.Object{}, failure(operation, answer, KindUnavailable)
	}
	version := parseETag(answer.header)
	if version == "" {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure(operation, KindUnavailable, errors.New("the answer has no ETag"))
	}
	return marigoldcroft.NewObject(key, answer.body, version, answer.header.Get(WriteIDHeader)), nil
}

func (h *HTTP) write(ctx context.Context, operation, method, key string, value []byte, expected marigoldcroft.Version, writeID string) (response, error) {
	header := http.Header{WriteIDHeader: {writeID}}
	if expected == "" {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+string(expected)+`"`)
	}
	answer, sent, err := h.send(ctx, method, objectsPath+url.PathEscape(key), header, value, maxListBytes)
	switch {
	case err != nil && !sent:
		return response{}, marigoldcroft.NewFailure(operation, KindUnavailable, err)
	case err != nil:
		return response{}, marigoldcroft.NewFailure(operation, KindUnknown, err)
	case answer.status >= 200 && answer.status < 300:
		return answer, nil
	}
	// A 5xx answer may come from an intermediary that had passed the write on.
	return response{}, failure(operation, answer, KindUnknown)
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
