// Package mcrecover turns panics of single requests and messages into errors, so that an
// unexpected one does not end the process and with it all other requests.
package mcrecover

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"marigoldcroft"
)

const (
	// KindPanic means that the called function panicked.
	KindPanic Kind = "panic"
	// maxStackBytes limits the part of the stack in the log line.
	maxStackBytes = 4 << 10
)

type (
	// Kind classifies the errors of the package.
	Kind string
	// Error is the error type of the package.
	Error = marigoldcroft.Failure[Kind]
)

// IsPanic reports whether the error stands for a panic that Call has recovered.
func IsPanic(err error) bool { return marigoldcroft.FailureKind[Kind](err) == KindPanic }

// Call runs f and returns its error. If f panics, Call logs the panic and its place, and returns
// an error of KindPanic.
func Call(logger zerolog.Logger, place string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			stack := debug.Stack()
			logger.Error().Str("place", place).Interface("cause", cause).Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("panicRecovered")
			err = marigoldcroft.NewFailure(place, KindPanic, errors.Newf("%v", cause))
		}
	}()
	return f()
}
