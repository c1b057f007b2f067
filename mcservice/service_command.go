package mcservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// Call makes one call. A call with a key is sent at most once.
func (c *Client) Call(ctx context.Context, endpoint marigoldcroft.Endpoint, call marigoldcroft.ServiceCall) (marigoldcroft.ServiceAnswer, error) {
	operation := "call " + endpoint.Name()
	if int64(len(call.Body)) > c.cfg.MaxBodyBytes {
		return marigoldcroft.ServiceAnswer{}, notSentFailure(operation,
			errors.Newf("the body has %d bytes; at most %d are allowed", len(call.Body), c.cfg.MaxBodyBytes))
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	request, err := newRequest(ctx, endpoint, call)
	if err != nil {
		return marigoldcroft.ServiceAnswer{}, notSentFailure(operation, err)
	}
	return c.send(operation, request, c.cfg.MaxAnswerBytes)
}

func newRequest(ctx context.Context, endpoint marigoldcroft.Endpoint, call marigoldcroft.ServiceCall) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Newf("path %q does not begin with a slash", call.Path)
	}
	var body io.Reader = bytes.NewReader(call.Body)
	if call.Key != "" {
		// The transport repeats a request with an idempotency key on a broken connection
		// if it can read the body again; a body of an unknown type prevents that.
		body = unreplayableBody{body}
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, endpoint.Address()+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	for _, name := range hopByHopHeaders {
		request.Header.Del(name)
	}
	request.Header.Del(IdempotencyKeyHeader)
	if call.Key != "" {
		request.Header.Set(IdempotencyKeyHeader, call.Key)
	}
	if call.RequestID != "" {
		request.Header.Set(RequestIDHeader, call.RequestID)
	}
	return request, nil
}
