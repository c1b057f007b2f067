package mcorder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft"
	"marigoldcroft/mcorder"
)

// fakeEngineStreams is an engine that only lists and cancels streams.
type fakeEngineStreams struct{ streams []marigoldcroft.EngineStream }

func (s *fakeEngineStreams) Streams(context.Context, marigoldcroft.Endpoint) ([]marigoldcroft.EngineStream, error) {
	return s.streams, nil
}

func (s *fakeEngineStreams) Cancel(_ context.Context, _ marigoldcroft.Endpoint, id marigoldcroft.StreamID) error {
	var kept []marigoldcroft.EngineStream
	for _, stream := range s.streams {
		if stream.ID != id.Request() {
			kept = append(kept, stream)
		}
	}
	s.streams = kept
	return nil
}

// An engine never frees the memory of a dead instance's streams unless they are
// cancelled. The streams of an instance that is alive, or that returns within
// StreamGrace, must be kept.
func TestStreamsOfGoneInstancesAreCancelled(t *testing.T) {
	cases := []struct {
		name string
		// gone reports whether the owner counts as gone at a time since the start.
		gone func(time.Duration) bool
		kept bool
	}{
		{"live owner", func(time.Duration) bool { return false }, true},
		{"dead owner", func(time.Duration) bool { return true }, false},
		{"owner that refutes in time", func(at time.Duration) bool { return at < mcorder.StreamGrace/2 }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				engine := &fakeEngineStreams{streams: []marigoldcroft.EngineStream{{ID: "r", Attempt: 1, Owner: "a-1/7"}, {ID: "s", Attempt: 1, Owner: "malformed"}}}
				r := &mcorder.StreamReconciler{
					Engine: engine, Logger: zerolog.Nop(),
					Endpoints: func() []marigoldcroft.Endpoint { return make([]marigoldcroft.Endpoint, 1) },
					Gone: func(instance string, incarnation uint64) bool {
						require.Equal(t, "a-1", instance)
						require.EqualValues(t, 7, incarnation)
						return c.gone(time.Since(start))
					},
				}
				ctx, cancel := context.WithTimeout(context.Background(), 3*mcorder.StreamGrace)
				defer cancel()
				r.Run(ctx)
				want := 1
				if c.kept {
					want = 2
				}
				require.Len(t, engine.streams, want)
			})
		})
	}
}
