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
	// StreamGrace is how long the run that owns a stream must be known as gone before
	// the stream is cancelled. It leaves a paused process time to refute its removal.
	StreamGrace = 10 * time.Second
	// reconcileInterval is the pause between two reads of the engines' lists.
	reconcileInterval = 5 * time.Second
)

type (
	// Streams lists and cancels the streams of engines; marigoldcroft.Engine is one.
	Streams interface {
		Streams(ctx context.Context, endpoint marigoldcroft.Endpoint) ([]marigoldcroft.EngineStream, error)
		Cancel(ctx context.Context, endpoint marigoldcroft.Endpoint, id marigoldcroft.StreamID) error
	}

	// Reconciler cancels the streams of instances that are gone, so that engines get
	// their memory back. Set the exported fields before Run.
	Reconciler struct {
		Engine Streams
		// Endpoints returns the engines that this instance polls.
		Endpoints func() []marigoldcroft.Endpoint
		// Gone tells whether that run of the instance is over.
		Gone   func(instance string, incarnation uint64) bool
		Logger zerolog.Logger

		// goneSince holds when each owner of a listed stream was first found gone.
		goneSince map[string]time.Time
	}
)

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.Pass(ctx)
		mcclock.Sleep(ctx, reconcileInterval)
	}
}

// Pass reads the list of each engine once and returns the number of streams that it
// cancelled.
func (r *Reconciler) Pass(ctx context.Context) int {
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

// isDue tells whether the owner has been gone for StreamGrace, and keeps its time in seen.
func (r *Reconciler) isDue(owner string, stillGone map[string]time.Time) bool {
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

func (r *Reconciler) cancel(ctx context.Context, endpoint marigoldcroft.Endpoint, stream marigoldcroft.EngineStream) bool {
	if err := r.Engine.Cancel(ctx, endpoint, marigoldcroft.NewStreamID(stream.ID, stream.Attempt)); err != nil {
		r.Logger.Warn().Str("endpoint", endpoint.Name()).Str("owner", stream.Owner).Err(err).Msg("foreignStreamNotCancelled")
		return false
	}
	r.Logger.Info().Str("endpoint", endpoint.Name()).Str("owner", stream.Owner).Int64("kvTokens", stream.KVTokens).Msg("foreignStreamCancelled")
	return true
}

// parseOwner splits instance/incarnation; see marigoldcroft.Identity.Owner.
func parseOwner(owner string) (instance string, incarnation uint64, ok bool) {
	instance, number, found := strings.Cut(owner, "/")
	if !found {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return instance, incarnation, err == nil
}
