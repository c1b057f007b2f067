package marigoldcroft

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Failure is an error with the operation that failed and the kind of failure. Each
// package names its own kinds and its own error type: type Error = Failure[Kind].
type Failure[K ~string] struct {
	operation string
	kind      K
	cause     error
}

// NewFailure returns a failure of the operation; cause may be nil.
func NewFailure[K ~string](operation string, kind K, cause error) *Failure[K] {
	return &Failure[K]{operation: operation, kind: kind, cause: cause}
}

// Error returns the operation, the kind and the cause in one line.
func (f *Failure[K]) Error() string {
	if f.cause == nil {
		return fmt.Sprintf("%s: %s", f.operation, string(f.kind))
	}
	return fmt.Sprintf("%s: %s: %v", f.operation, string(f.kind), f.cause)
}

// Operation returns the operation that failed.
func (f *Failure[K]) Operation() string { return f.operation }

// Kind returns the kind of failure.
func (f *Failure[K]) Kind() K { return f.kind }

// Unwrap returns the cause, or nil.
func (f *Failure[K]) Unwrap() error { return f.cause }

// FailureKind returns the kind of the first failure with kinds of type K in the
// chain of err, or "" when there is none.
func FailureKind[K ~string](err error) K {
	var f *Failure[K]
	if errors.As(err, &f) {
		return f.kind
	}
	return ""
}
