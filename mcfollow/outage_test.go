package mcfollow_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"marigoldcroft/mcfollow"
)

// Guards against an endpoint that left and is kept in use as one whose record expired in an outage of
// the store, because one follower could not read its records while others had answers, or for longer.
func TestOutageIsThatOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name string
		// otherFails is how long the other follower's calls fail. Those of the first fail for 6 s.
		otherFails time.Duration
		// ended is when the outage ended for the first follower, or 0 if there was none that matters.
		ended time.Duration
	}{
		{"one follower alone fails", 0, 0},
		{"the other has answers earlier", 3 * time.Second, 3 * time.Second},
		{"both fail for the same time", 6 * time.Second, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				gate := &mcfollow.Gate{}
				var feeds []*feed
				var copies []*recordedCopy
				for _, name := range []string{"first", "other"} {
					f, held := &feed{revision: 1, records: map[string]int{"x": 1}}, &recordedCopy{}
					follower := &mcfollow.Follower[int]{
						Name: name, Feed: f, Apply: held.apply, Logger: zerolog.Nop(), Gate: gate,
						WatchTimeout: func() time.Duration { return 100 * time.Millisecond },
					}
					feeds, copies = append(feeds, f), append(copies, held)
					go follower.Run(ctx)
				}
				synctest.Wait()
				setError := func(f *feed, err error) { f.update(func() { f.err = err }) }
				begun := time.Now()
				setError(feeds[0], errors.New("unavailable"))
				if c.otherFails > 0 {
					setError(feeds[1], errors.New("unavailable"))
				}
				time.AfterFunc(c.otherFails, func() { setError(feeds[1], nil) })
				time.Sleep(6 * time.Second)
				before := len(copies[0].all())
				setError(feeds[0], nil)
				time.Sleep(3 * time.Second)
				changes := copies[0].all()[before:]
				require.NotEmpty(t, changes)
				if c.ended == 0 {
					require.Zero(t, changes[0].OutageDuration)
					return
				}
				require.Greater(t, changes[0].OutageDuration, c.ended-time.Second)
				require.WithinDuration(t, begun.Add(c.ended), changes[0].OutageEndedAt, 2500*time.Millisecond)
				require.Zero(t, changes[1].OutageDuration, "it is reported once")
			})
		})
	}
}
