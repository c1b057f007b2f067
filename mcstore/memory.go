package mcstore

import (
	"context"
	"maps"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// MaxValueBytes is the maximum size of a value in the platform's store.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 512
)

// Memory is an in-memory object store. The zero value is ready to use.
type Memory struct {
	mu      sync.Mutex
	objects map[string]marigoldcroft.Object
	// lastVersion never decreases, so that an object gets a new version when it is
	// deleted and created again.
	lastVersion uint64
	// era counts the calls of Restore.
	era uint64
	// changed is closed at the next change to wake all watches. It is nil if no watch has
	// started since the last change.
	changed chan struct{}
}

// Get returns the object.
func (m *Memory) Get(ctx context.Context, key string) (marigoldcroft.Object, error) {
	if err := ctx.Err(); err != nil {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure("get "+key, KindUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.getLocked("get", key)
}

// getLocked requires mu to be held.
func (m *Memory) getLocked(operation, key string) (marigoldcroft.Object, error) {
	object, ok := m.objects[key]
	if !ok {
		return marigoldcroft.Object{}, marigoldcroft.NewFailure(operation+" "+key, KindNotFound, nil)
	}
	return object, nil
}

// List returns up to limit keys with the prefix, in ascending order, starting after the
// key after.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]marigoldcroft.ObjectEntry, error) {
	if err := ctx.Err(); err != nil {
		return nil, marigoldcroft.NewFailure("list "+prefix, KindUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []marigoldcroft.ObjectEntry
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, marigoldcroft.ObjectEntry{Key: key, Version: object.Version()})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return entries, nil
}

// Watch returns the object once its version differs from known, or after wait.
func (m *Memory) Watch(ctx context.Context, key string, known marigoldcroft.Version, wait time.Duration) (marigoldcroft.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		object, changed, err := m.getAndWatch(key)
		if object.Version() != known {
			return object, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return object, err
		case <-ctx.Done():
			return marigoldcroft.Object{}, marigoldcroft.NewFailure("watch "+key, KindUnavailable, ctx.Err())
		}
	}
}

// getAndWatch returns the object and a channel that is closed at the next change of any object.
func (m *Memory) getAndWatch(key string) (marigoldcroft.Object, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	object, err := m.getLocked("watch", key)
	return object, m.changed, err
}

// Put stores value if the object's current version equals expected.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expected marigoldcroft.Version, writeID string) (marigoldcroft.Version, error) {
	if err := checkWrite(ctx, key, value); err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version() != expected {
		return "", marigoldcroft.NewFailure("put "+key, KindConflict, nil)
	}
	if m.objects == nil {
		m.objects = make(map[string]marigoldcroft.Object)
	}
	m.lastVersion++
	version := marigoldcroft.Version(strconv.FormatUint(m.lastVersion, 10))
	m.objects[key] = marigoldcroft.NewObject(key, append([]byte(nil), value...), version, writeID)
	m.notify()
	return version, nil
}

// Delete removes the object if its current version equals expected.
func (m *Memory) Delete(ctx context.Context, key string, expected marigoldcroft.Version, _ string) error {
	if err := checkWrite(ctx, key, nil); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	object, err := m.getLocked("delete", key)
	if err != nil {
		return err
	}
	if object.Version() != expected {
		return marigoldcroft.NewFailure("delete "+key, KindConflict, nil)
	}
	delete(m.objects, key)
	m.notify()
	return nil
}

// notify wakes all watches. It requires mu to be held.
func (m *Memory) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

func checkWrite(ctx context.Context, key string, value []byte) error {
	if err := ctx.Err(); err != nil {
		return marigoldcroft.NewFailure("write "+key, KindUnavailable, err)
	}
	if key == "" || len(key) > MaxKeyBytes {
		return marigoldcroft.NewFailure("write", KindInvalidKey,
			errors.Newf("the key has %d bytes; 1 to %d are allowed", len(key), MaxKeyBytes))
	}
	if len(value) > MaxValueBytes {
		return marigoldcroft.NewFailure("write "+key, KindTooLarge,
			errors.Newf("the value has %d bytes; at most %d are allowed", len(value), MaxValueBytes))
	}
	return nil
}

// Snapshot returns a copy of the stored objects for Restore.
func (m *Memory) Snapshot() map[string]marigoldcroft.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.objects)
}

// Era returns how often the store was restored.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Restore replaces the stored objects with a snapshot, as when a store is restored from a
// backup, and begins the next era. Versions assigned since the snapshot are not reused.
func (m *Memory) Restore(objects map[string]marigoldcroft.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = maps.Clone(objects)
	m.era++
	m.notify()
}
