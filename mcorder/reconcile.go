package mcorder

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcclock"
)

const (
	// StreamGrace is how long the process that owns a stream must be known to be gone
	// before the stream is cancelled. It gives a paused process time to refute its
	// removal from the member list.
	StreamGrace = 10 * time.Second
	// reconcileInterval is the time between two reads of the engines' stream lists.
	reconcileInterval = 5 * time.Second
)

type (
	// Streams lists and cancels the streams of engines; marigoldcroft.Engine implements
	// it.
	Streams interface {
		Streams(ctx context.Context, endpoint marigoldcroft.Endpoint) ([]marigoldcroft.EngineStream, error)
		Cancel(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) error
	}

	// StreamReconciler cancels the streams of instances that are gone, so that the engines
	// free their memory. Set the exported fields before Run.
	StreamReconciler struct {
		Engine Streams
		// Endpoints returns the endpoints of the engines that this instance polls.
		Endpoints func() []marigoldcroft.Endpoint
		// Gone reports whether the incarnation of the instance has ended.
		Gone   func(instance string, incarnation uint64) bool
		Logger zerolog.Logger

		// goneSince records, for each owner of a listed stream, when it was first found
		// gone.
		goneSince map[string]time.Time
	}
)

// Run calls ReconcileOnce repeatedly until ctx ends.
func (r *StreamReconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.ReconcileOnce(ctx)
		mcclock.Sleep(ctx, reconcileInterval)
	}
}

// ReconcileOnce reads each engine's stream list once, cancels the streams whose owner has
// been gone for StreamGrace, and returns how many it cancelled.
func (r *StreamReconciler) ReconcileOnce(ctx context.Context) int {
	cancelled := 0
	stillGone := make(map[string]time.Time)
	for _, endpoint := range r.Endpoints() {
		streams, err := r.Engine.Streams(ctx, endpoint)
		if err != nil {
			r.Logger.Debug().Str("endpoint", endpoint.Name()).Err(err).Msg("streamListFailed")
			continue
		}
		for _, stream := range streams {
			if r.isDue(stream.Owner, stillGone) && r.cancel(ctx, endpoint, stream) {
				cancelled++
			}
		}
	}
	r.goneSince = stillGone
	return cancelled
}

// isDue reports whether the owner has been gone for StreamGrace. If the owner is gone, it
// stores the time at which that was first found in stillGone.
func (r *StreamReconciler) isDue(owner string, stillGone map[string]time.Time) bool {
	instance, incarnation, ok := parseOwner(owner)
	if !ok || !r.Gone(instance, incarnation) {
		return false
	}
	since, known := r.goneSince[owner]
	if !known {
		since = time.Now()
	}
	stillGone[owner] = since
	return time.Since(since) >= StreamGrace
}

func (r *StreamReconciler) cancel(ctx context.Context, endpoint marigoldcroft.Endpoint, stream marigoldcroft.EngineStream) bool {
	if err := r.Engine.Cancel(ctx, endpoint, marigoldcroft.NewStreamID(stream.ID, stream.Attempt)); err != nil {
		r.Logger.Warn().Str("endpoint", endpoint.Name()).Str("owner", stream.Owner).Err(err).Msg("foreignStreamNotCancelled")
		return false
	}
	r.Logger.Info().Str("endpoint", endpoint.Name()).Str("owner", stream.Owner).Int64("kvTokens", stream.KVTokens).Msg("foreignStreamCancelled")
	return true
}

// parseOwner splits an owner of the form instance/incarnation; see
// marigoldcroft.Identity.Owner.
func parseOwner(owner string) (instance string, incarnation uint64, ok bool) {
	instance, number, found := strings.Cut(owner, "/")
	if !found {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return instance, incarnation, err == nil
}
