package marigoldcroft

import (
	"context"
	"net/http"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID string
	// Key is the idempotency key, or "" for a call without one.
	Key    string
	Method string
	// Path begins with a slash and includes the query string, if any.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is a complete answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a client for all plain services.
type Service interface {
	// Call runs one call. If it returns an error for which NotSent is true, no byte of the
	// call was sent; after any other error the call may have run.
	Call(ctx context.Context, endpoint Endpoint, call ServiceCall) (ServiceAnswer, error)
	// Status queries the service for the outcome of the call with the idempotency key. The
	// second result is false if the service does not know the key or has no such query.
	Status(ctx context.Context, endpoint Endpoint, key string) (ServiceAnswer, bool, error)
	Load(ctx context.Context, endpoint Endpoint) (LoadReport, error)
}

// NotSent reports whether err, returned by Service.Call, means that no byte of the call was
// sent.
func NotSent(err error) bool {
	for err != nil {
		if m, ok := err.(interface{ NotSent() bool }); ok {
			return m.NotSent()
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}
