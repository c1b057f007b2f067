// Package mcrecover turns panics of single requests and messages into errors, so that an
// unexpected one does not end the process and with it all other requests.
package mcrecover

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// maxStackBytes limits the part of the stack in the log line.
const maxStackBytes = 4 << 10

// Call runs f. If f panics, it logs the panic and its place, and returns it as an error.
func Call(logger zerolog.Logger, place string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			stack := debug.Stack()
			logger.Error().Str("place", place).Interface("cause", cause).Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("panicRecovered")
			err = errors.Newf("panic in %s: %v", place, cause)
		}
	}()
	return f()
}
