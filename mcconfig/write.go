package mcconfig

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// maxPageWrites limits the concurrent page writes of one change or repair.
const maxPageWrites = 8

func newWriteID() string { return uuid.NewString() }

// createPages writes new pages concurrently. It returns false if one of the keys
// already holds different content, because another change uses the same revision.
func createPages(ctx context.Context, store marigoldcroft.ObjectStore, pages []*loadedPage, writeID string) (bool, error) {
	var (
		group errgroup.Group
		taken atomic.Bool
	)
	group.SetLimit(maxPageWrites)
	for _, page := range pages {
		group.Go(func() error {
			free, err := createPage(ctx, store, page, writeID)
			if !free {
				taken.Store(true)
			}
			return err
		})
	}
	err := group.Wait()
	return !taken.Load(), err
}

// createPage writes one new page. It succeeds if the key already holds the same bytes,
// which also covers an earlier attempt whose response was lost. It returns false if the
// key holds different bytes.
func createPage(ctx context.Context, store marigoldcroft.ObjectStore, page *loadedPage, writeID string) (bool, error) {
	key := pageKey(page.ref.Page, page.ref.Revision)
	pause := minBackoff
	for {
		err := putWithTimeout(ctx, store, key, page.raw, "", writeID)
		if err == nil {
			return true, nil
		}
		if mcstore.IsConflict(err) {
			object, err := getWithTimeout(ctx, store, key)
			if err != nil {
				return true, marigoldcroft.NewFailure("write "+key, KindUnavailable, err)
			}
			return bytes.Equal(object.Value(), page.raw), nil
		}
		if !mcstore.IsOutcomeUnknown(err) || ctx.Err() != nil {
			return true, marigoldcroft.NewFailure("write "+key, KindUnavailable, err)
		}
		pause = sleepBackoff(ctx, pause)
	}
}

// putHead replaces the stored head if its version is still expected. It returns true if
// head was accepted, false if another head was accepted first, and an error of
// KindOutcomeUnknown if the outcome is still unknown when ctx ends. base is the revision of
// the head that is replaced.
func putHead(ctx context.Context, store marigoldcroft.ObjectStore, head Head, base uint64, expected marigoldcroft.Version, writeID string) (bool, error) {
	var (
		operation    = fmt.Sprintf("write revision %d", head.Revision)
		raw          = head.encode()
		mayBeApplied = false
		pause        = minBackoff
	)
	for {
		err := putWithTimeout(ctx, store, headKey, raw, expected, writeID)
		switch {
		case err == nil:
			return true, nil
		case hadNoEffect(err) && !mayBeApplied:
			return false, marigoldcroft.NewFailure(operation, KindUnavailable, err)
		case !hadNoEffect(err) && !mcstore.IsConflict(err):
			mayBeApplied = true
		}
		// A conflict can also be caused by an earlier transmission of this same write
		// whose response was lost in a lower layer.
		found, version, readErr := readHead(ctx, store)
		if readErr == nil && version != expected {
			return resolveOutcome(operation, found, base, writeID)
		}
		if ctx.Err() != nil {
			return false, marigoldcroft.NewFailure(operation, KindOutcomeUnknown, errors.Wrapf(err, "write id %s", writeID))
		}
		// The stored head is unchanged: the write has had no effect yet, but a delayed
		// copy of it may still arrive.
		pause = sleepBackoff(ctx, pause)
	}
}

// resolveOutcome determines from the later head found whether the write of writeID was
// accepted. As the expected version has been replaced, a delayed copy of the write can
// no longer take effect. If Recent no longer reaches back to the write, the outcome
// stays unknown.
func resolveOutcome(operation string, found Head, base uint64, writeID string) (bool, error) {
	if _, ok := found.acceptedRevision(writeID); ok {
		return true, nil
	}
	if len(found.Recent) == maxRecent && found.Recent[0].Revision > base+1 {
		return false, marigoldcroft.NewFailure(operation, KindOutcomeUnknown,
			errors.Newf("more than %d changes came later; write id %s", maxRecent, writeID))
	}
	return false, nil
}

// hadNoEffect reports whether err guarantees that the write had no effect.
func hadNoEffect(err error) bool {
	switch marigoldcroft.FailureKind[mcstore.Kind](err) {
	case mcstore.KindUnavailable, mcstore.KindRateLimited, mcstore.KindTooLarge, mcstore.KindInvalidKey:
		return true
	default:
		return false
	}
}

func putWithTimeout(ctx context.Context, store marigoldcroft.ObjectStore, key string, raw []byte, expected marigoldcroft.Version, writeID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := store.Put(ctx, key, raw, expected, writeID)
	return err
}

func getWithTimeout(ctx context.Context, store marigoldcroft.ObjectReader, key string) (marigoldcroft.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return store.Get(ctx, key)
}

// readHead reads the stored head and its version. If the store has none, it returns the
// head of the empty configuration.
func readHead(ctx context.Context, store marigoldcroft.ObjectReader) (Head, marigoldcroft.Version, error) {
	object, err := getWithTimeout(ctx, store, headKey)
	return decodeHeadObject(object, err)
}
