package mcentry

import (
	"context"
	"net/http"
	"time"

	"marigoldcroft"
)

// stop makes the instance unready, serves on for the lame-duck time, and then waits
// until no request is left, the stop limit passes or Abort is closed.
func (e *Entry) stop(server *http.Server) error {
	e.gateway.Drain()
	e.logger.Info().Int64("inFlight", e.gateway.InFlight()).Msg("stopBegun")
	limit, cancel := context.WithTimeout(context.Background(), e.Settings.Stop.LameDuck+e.Settings.Stop.Limit)
	defer cancel()
	e.lameDuck()
	finished := make(chan error, 1)
	go func() { finished <- server.Shutdown(limit) }()
	var err error
	select {
	case err = <-finished:
	case <-e.Abort:
		err = context.Canceled
	}
	if err != nil {
		e.logger.Warn().Int64("inFlight", e.gateway.InFlight()).Msg("stopLimitReached")
		// The connections are gone in any case.
		_ = server.Close()
		return marigoldcroft.NewFailure("stop", KindStopLimit, err)
	}
	e.logger.Info().Msg("stopped")
	return nil
}

func (e *Entry) lameDuck() {
	timer := time.NewTimer(e.Settings.Stop.LameDuck)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.Abort:
	}
}
