package mcjob

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcclock"
	"marigoldcroft/mcstore"
)

const (
	retryBase = 50 * time.Millisecond
	// retryMax is the longest mean delay between retries, so that a recovered store is
	// used again soon.
	retryMax = 2 * time.Second
	// callTimeout bounds one store call. It exceeds the time in which mcstore.Client,
	// with its default call timeout, determines the outcome of a write.
	callTimeout = 15 * time.Second
	// listPageSize is the number of keys requested in one list call.
	listPageSize = 1000
)

// errReplaced means that another write has changed or deleted the object since it was
// read.
var errReplaced = errors.New("the object was replaced by another write")

type (
	// storeCounts counts store calls and the bytes of object values.
	storeCounts struct {
		gets, lists, watches, puts, deletes, readBytes, writtenBytes, lostResponses, conflicts atomic.Uint64
	}

	// jobStore makes the store calls of one instance. It counts them, retries writes
	// and determines the outcome of writes whose response was lost.
	jobStore struct {
		store  marigoldcroft.ObjectStore
		self   owner
		budget *budget
		counts storeCounts
		// lastWrite numbers the writes, which makes write ids unique within the
		// incarnation.
		lastWrite atomic.Uint64
	}
)

func (s *jobStore) get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	s.counts.gets.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, key)
	s.counts.readBytes.Add(uint64(len(object.Value())))
	return object, err
}

func (s *jobStore) watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	s.counts.watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	object, err := s.store.Watch(ctx, key, known, wait)
	s.counts.readBytes.Add(uint64(len(object.Value())))
	return object, err
}

// list returns all entries with the prefix, in as many calls as needed.
func (s *jobStore) list(ctx context.Context, prefix string) ([]marigoldcroft.ObjectEntry, error) {
	var all []marigoldcroft.ObjectEntry
	for after := ""; ; after = all[len(all)-1].Key {
		entries, err := s.listPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
		if len(entries) < listPageSize {
			return all, nil
		}
	}
}

func (s *jobStore) listPage(ctx context.Context, prefix, after string) ([]marigoldcroft.ObjectEntry, error) {
	s.counts.lists.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.List(ctx, prefix, after, listPageSize)
}

// deleteVersion deletes the object if it is at the version. An object that is gone or
// replaced is not an error: another instance has handled it.
func (s *jobStore) deleteVersion(ctx context.Context, key string, version marigoldcroft.Version) error {
	s.counts.deletes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.store.Delete(ctx, key, version, s.writeID())
	if mcstore.IsNotFound(err) || mcstore.IsConflict(err) {
		return nil
	}
	return err
}

func (s *jobStore) writeID() string {
	return fmt.Sprintf("%s/%d/job/%d", s.self.Instance, s.self.Incarnation, s.lastWrite.Add(1))
}

// put writes value if the object is at the expected version. If the response is lost,
// it reads the object back. While the object is still at the expected version, the lost
// write may yet arrive; put then sends it again with the same write id, and at most one
// copy takes effect. With persist, put retries until ctx ends while the store is down.
//
// The error is errReplaced after a conflict. It has kind KindUnknown if the write may
// have taken effect or may still do so. Any other error means that the write had no
// effect.
func (s *jobStore) put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, persist bool) (marigoldcroft.Version, error) {
	writeID := s.writeID()
	mayHaveApplied := false
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			s.budget.charge(1)
		}
		version, err := s.putOnce(ctx, key, value, expected, writeID)
		kind := marigoldcroft.FailureKind[mcstore.Kind](err)
		switch {
		case err == nil:
			return version, nil
		case kind == mcstore.KindTooLarge, kind == mcstore.KindInvalidKey:
			return "", err
		case kind == mcstore.KindConflict && !mayHaveApplied:
			s.counts.conflicts.Add(1)
			return "", errReplaced
		case kind == mcstore.KindUnavailable, kind == mcstore.KindRateLimited:
			if !mayHaveApplied && !persist {
				return "", err
			}
		default:
			// A conflict after a lost response may be caused by the first copy of this
			// write. An error without a kind does not tell whether the write took
			// effect.
			if kind != mcstore.KindConflict {
				mayHaveApplied = true
				s.counts.lostResponses.Add(1)
			}
			version, applied, replaced := s.readBack(ctx, key, expected, writeID)
			if applied {
				return version, nil
			}
			if replaced {
				s.counts.conflicts.Add(1)
				return "", errReplaced
			}
		}
		if !backOff(ctx, attempt) {
			if mayHaveApplied {
				return "", unknownOutcomeFailure("put "+key, err)
			}
			return "", marigoldcroft.NewFailure("put "+key, mcstore.KindUnavailable, err)
		}
	}
}

func (s *jobStore) putOnce(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	s.counts.puts.Add(1)
	s.counts.writtenBytes.Add(uint64(len(value)))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Put(ctx, key, value, expected, writeID)
}

// readBack determines the outcome of a write. It returns applied if the write took
// effect, and replaced if the object has another version than the write expects, so
// that the write can no longer take effect.
func (s *jobStore) readBack(ctx context.Context, key string, expected marigoldcroft.Version, writeID string) (version marigoldcroft.Version, applied, replaced bool) {
	object, err := s.get(ctx, key)
	switch {
	case err != nil && !mcstore.IsNotFound(err):
		return "", false, false
	case err == nil && object.WriteID() == writeID:
		return object.Version(), true, false
	}
	return "", false, object.Version() != expected
}

// backOff waits with jitter before the next attempt. It returns false when ctx ends.
func backOff(ctx context.Context, attempt int) bool {
	mean := mcclock.Backoff(retryBase, retryMax, attempt)
	return mcclock.Sleep(ctx, mean/2+rand.N(mean))
}

// writeChunks stores the compressed body as a chunk set under a new name. No other
// writer uses the name, so a conflict after a lost response means that the chunk was
// written.
func (s *jobStore) writeChunks(ctx context.Context, prefix, id string, name string, compressed []byte, persist bool) (chunkSet, error) {
	set := chunkSet{Name: name}
	for _, chunk := range splitChunks(compressed) {
		if _, err := s.put(ctx, chunkKey(prefix, id, name, set.Count), chunk, "", persist); err != nil {
			return set, err
		}
		set.Count++
	}
	return set, nil
}

// readChunks reads a chunk set and returns the decompressed body.
func (s *jobStore) readChunks(ctx context.Context, prefix, id string, set chunkSet) ([]byte, error) {
	var compressed []byte
	for n := range set.Count {
		object, err := s.get(ctx, chunkKey(prefix, id, set.Name, n))
		if err != nil {
			return nil, err
		}
		part, err := chunkPayload(object.Value())
		if err != nil {
			return nil, err
		}
		compressed = append(compressed, part...)
	}
	return decompress(compressed)
}

// removeChunks deletes the chunks of a set. Any that remain after an error are orphans,
// which a sweep removes.
func (s *jobStore) removeChunks(ctx context.Context, prefix, id string, set chunkSet) error {
	if set.Count == 0 {
		return nil
	}
	entries, err := s.list(ctx, fmt.Sprintf("%s%s/%s-", prefix, id, set.Name))
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := s.deleteVersion(ctx, entry.Key, entry.Version); err != nil {
			return err
		}
	}
	return nil
}
