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
	// Path begins with a slash and holds the query, if any.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is a whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a client of all plain services.
type Service interface {
	// Call runs one call. An error that NotSent reports true for means that no byte
	// of the call reached the service; after any other error it may have run.
	Call(ctx context.Context, endpoint Endpoint, call ServiceCall) (ServiceAnswer, error)
	// Status asks the service what became of the call with the key. The second
	// result is false when the service does not know the key or offers no query.
	Status(ctx context.Context, endpoint Endpoint, key string) (ServiceAnswer, bool, error)
	Load(ctx context.Context, endpoint Endpoint) (LoadReport, error)
}

// NotSent tells whether err says that the call never left this process.
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
