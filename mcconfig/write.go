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

// pageWriters bounds the page writes in flight of one change or repair.
const pageWriters = 8

// newWriteID returns an id that is unique to one change.
func newWriteID() string { return uuid.NewString() }

// createPages writes page objects that must not exist yet. It returns false when one
// of the keys holds other content: another change took the revision.
func createPages(ctx context.Context, store marigoldcroft.ObjectStore, pages []*loadedPage, writeID string) (bool, error) {
	var (
		group errgroup.Group
		taken atomic.Bool
	)
	group.SetLimit(pageWriters)
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

// createPage writes one page object. The same bytes under the key count as written,
// which also settles a write whose answer was lost.
func createPage(ctx context.Context, store marigoldcroft.ObjectStore, page *loadedPage, writeID string) (bool, error) {
	key := pageKey(page.ref.Page, page.ref.Revision)
	pause := firstPause
	for {
		err := put(ctx, store, key, page.raw, "", writeID)
		if err == nil {
			return true, nil
		}
		if mcstore.IsConflict(err) {
			object, err := get(ctx, store, key)
			if err != nil {
				return true, marigoldcroft.NewFailure("write "+key, KindUnavailable, err)
			}
			return bytes.Equal(object.Value(), page.raw), nil
		}
		if !mcstore.IsUnknown(err) || ctx.Err() != nil {
			return true, marigoldcroft.NewFailure("write "+key, KindUnavailable, err)
		}
		pause = sleepBackoff(ctx, pause)
	}
}

// putHead replaces the head of the version expected. It returns true when the head
// was accepted, false when another one came first, and an error of the kind
// KindUnknown when that stays open until ctx ends.
func putHead(ctx context.Context, store marigoldcroft.ObjectStore, head Head, base uint64, expected marigoldcroft.Version, writeID string) (bool, error) {
	var (
		operation = fmt.Sprintf("write revision %d", head.Revision)
		raw       = head.encode()
		mayHave   = false
		pause     = firstPause
	)
	for {
		err := put(ctx, store, headKey, raw, expected, writeID)
		switch {
		case err == nil:
			return true, nil
		case notSent(err) && !mayHave:
			return false, marigoldcroft.NewFailure(operation, KindUnavailable, err)
		case !notSent(err) && !mcstore.IsConflict(err):
			mayHave = true
		}
		// A conflict can come from an own write whose answer was lost below this call.
		found, version, readErr := readHead(ctx, store)
		if readErr == nil && version != expected {
			return settle(operation, found, base, writeID)
		}
		if ctx.Err() != nil {
			return false, marigoldcroft.NewFailure(operation, KindUnknown, errors.Wrapf(err, "write id %s", writeID))
		}
		// The head is unchanged, so the write is not applied; it may still arrive.
		pause = sleepBackoff(ctx, pause)
	}
}

// settle tells from a later head whether the write took effect: the head of the
// expected version is gone, so the write can no longer arrive.
func settle(operation string, found Head, base uint64, writeID string) (bool, error) {
	if _, ok := found.accepted(writeID); ok {
		return true, nil
	}
	if len(found.Recent) == maxRecent && found.Recent[0].Revision > base+1 {
		return false, marigoldcroft.NewFailure(operation, KindUnknown,
			errors.Newf("more than %d changes came later; write id %s", maxRecent, writeID))
	}
	return false, nil
}

// notSent tells whether the error says that the call had no effect.
func notSent(err error) bool {
	switch marigoldcroft.FailureKind[mcstore.Kind](err) {
	case mcstore.KindUnavailable, mcstore.KindBudget, mcstore.KindTooLarge, mcstore.KindBadKey:
		return true
	default:
		return false
	}
}

func put(ctx context.Context, store marigoldcroft.ObjectStore, key string, raw []byte, expected marigoldcroft.Version, writeID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := store.Put(ctx, key, raw, expected, writeID)
	return err
}

func get(ctx context.Context, store marigoldcroft.ObjectReader, key string) (marigoldcroft.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return store.Get(ctx, key)
}

// readHead reads the head and its version. A store without a head holds the empty
// configuration.
func readHead(ctx context.Context, store marigoldcroft.ObjectReader) (Head, marigoldcroft.Version, error) {
	object, err := get(ctx, store, headKey)
	return decodeHeadObject(object, err)
}
