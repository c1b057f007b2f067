package mcforward

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft/mcclock"
)

// survivalDelay is the time between the two checks of an endpoint whose answer ended with its
// connection. A process that dies closes its port and its connections within a few milliseconds.
const survivalDelay = 15 * time.Millisecond

// confirmWhole returns an error if the answer ended with its connection and the endpoint's process has
// ended as well. The system closes the connections of a process that is killed in the regular way, so
// that a part of an answer without a length looks like a whole one. Only a refused connection shows
// the end of the process: an endpoint that is full or out of reach has not closed this one.
func (a *attempt) confirmWhole(ctx context.Context) error {
	if !a.endedWithConnection {
		return nil
	}
	for _, delay := range []time.Duration{0, survivalDelay} {
		if delay > 0 && !mcclock.Sleep(ctx, delay) {
			return a.contextError(ctx, "check of "+a.endpoint)
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", a.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return failure("answer of "+a.endpoint, KindConnectionBroken, errors.Wrap(err, "the endpoint ended with its answer, which may be a part"))
		}
		if err == nil {
			// The connection served only to show that the endpoint listens.
			_ = conn.Close()
		}
	}
	return nil
}
