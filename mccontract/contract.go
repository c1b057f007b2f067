// Package mccontract is a conformance test suite for implementations of
// marigoldcroft.ObjectStore.
package mccontract

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcstore"
)

// caseTimeout bounds a case and each watch that waits for a change. Only a failing case
// reaches it.
const caseTimeout = 20 * time.Second

type storeCase struct {
	name string
	run  func(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore)
}

var storeCases = []storeCase{
	{"operations on a missing object fail", checkMissing},
	{"a read returns value, version and write ID of the last write", checkRead},
	{"a write or deletion that expects a stale version has no effect", checkStaleVersion},
	{"versions of a deleted object are not reused", checkVersionReuse},
	{"keys may contain slashes, dots and spaces and are limited in length", checkKeys},
	{"values up to 1 MB are stored and larger ones rejected", checkValueSize},
	{"a list is sorted and continues after a given key", checkList},
	{"a watch returns on a change, on a deletion and when its wait time has passed", checkWatch},
	{"exactly one of several concurrent writes to the same version succeeds", checkConcurrentWrites},
	{"a call with a cancelled context has no effect", checkCancelledContext},
}

// Run checks that a store has the properties that marigoldcroft relies on. newStore returns
// an empty store and is called once for each case.
func Run(t *testing.T, newStore func(t *testing.T) marigoldcroft.ObjectStore) {
	for _, c := range storeCases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
			defer cancel()
			c.run(ctx, t, newStore(t))
		})
	}
}

func checkMissing(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	_, err := store.Get(ctx, "none")
	expectKind(t, err, mcstore.KindNotFound)
	_, err = store.Watch(ctx, "none", "", 10*time.Millisecond)
	expectKind(t, err, mcstore.KindNotFound)
	expectKind(t, store.Delete(ctx, "none", "1", "w1"), mcstore.KindNotFound)
	_, err = store.Put(ctx, "none", nil, "1", "w2")
	expectKind(t, err, mcstore.KindConflict)
}

func checkRead(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	first := mustPut(ctx, t, store, "k", "one", "")
	second := mustPut(ctx, t, store, "k", "two", first)
	object, err := store.Get(ctx, "k")
	expectKind(t, err, "")
	if string(object.Value()) != "two" || object.Version() != second || object.WriteID() != "two" || first == second {
		t.Fatalf("got value %q, version %q and write ID %q, want those of the second write, version %q", object.Value(), object.Version(), object.WriteID(), second)
	}
}

func checkStaleVersion(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	first := mustPut(ctx, t, store, "k", "one", "")
	second := mustPut(ctx, t, store, "k", "two", first)
	for _, expected := range []marigoldcroft.Version{"", first} {
		_, err := store.Put(ctx, "k", []byte("late"), expected, "late")
		expectKind(t, err, mcstore.KindConflict)
	}
	expectKind(t, store.Delete(ctx, "k", first, "late"), mcstore.KindConflict)
	object, err := store.Get(ctx, "k")
	expectKind(t, err, "")
	if object.Version() != second || string(object.Value()) != "two" {
		t.Fatalf("a rejected write changed the object to %q", object.Value())
	}
}

func checkVersionReuse(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	first := mustPut(ctx, t, store, "k", "one", "")
	expectKind(t, store.Delete(ctx, "k", first, "d"), "")
	_, err := store.Get(ctx, "k")
	expectKind(t, err, mcstore.KindNotFound)
	second := mustPut(ctx, t, store, "k", "one", "")
	if first == second {
		t.Fatalf("version %q was reused after a deletion", first)
	}
}

func checkKeys(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	for _, key := range []string{"a/b/../c", "a//b", "a b%2F?x=1", "ä/ö", strings.Repeat("k", mcstore.MaxKeyBytes)} {
		mustPut(ctx, t, store, key, "v "+key[:1], "")
		object, err := store.Get(ctx, key)
		expectKind(t, err, "")
		if object.Key() != key {
			t.Fatalf("got key %q, want %q", object.Key(), key)
		}
		_, err = store.Watch(ctx, key, "other", time.Millisecond)
		expectKind(t, err, "")
	}
	_, err := store.Put(ctx, strings.Repeat("k", mcstore.MaxKeyBytes+1), nil, "", "w")
	expectKind(t, err, mcstore.KindInvalidKey)
}

func checkValueSize(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	limit := mcstore.MaxValueBytes
	if limited, ok := store.(interface{ MaxValueBytes() int }); ok {
		// A store that adds framing to its values reports the limit that is left of 1 MB.
		limit = limited.MaxValueBytes()
	}
	large := make([]byte, limit)
	_, err := store.Put(ctx, "k", large, "", "w")
	expectKind(t, err, "")
	object, err := store.Get(ctx, "k")
	expectKind(t, err, "")
	if len(object.Value()) != limit {
		t.Fatalf("got %d bytes, want %d", len(object.Value()), limit)
	}
	_, err = store.Put(ctx, "k2", append(large, 0), "", "w")
	expectKind(t, err, mcstore.KindTooLarge)
}

func checkList(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	for _, key := range []string{"p/3", "q/1", "p/1", "p/2"} {
		mustPut(ctx, t, store, key, "v", "")
	}
	for _, c := range []struct {
		after string
		limit int
		want  string
	}{{"", 10, "p/1 p/2 p/3"}, {"", 2, "p/1 p/2"}, {"p/1", 1, "p/2"}, {"p/3", 5, ""}} {
		entries, err := store.List(ctx, "p/", c.after, c.limit)
		expectKind(t, err, "")
		var keys []string
		for _, entry := range entries {
			if entry.Version == "" {
				t.Fatalf("the list entry of %q has no version", entry.Key)
			}
			keys = append(keys, entry.Key)
		}
		if got := strings.Join(keys, " "); got != c.want {
			t.Fatalf("list after %q with limit %d: got %q, want %q", c.after, c.limit, got, c.want)
		}
	}
}

func checkWatch(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	first := mustPut(ctx, t, store, "k", "one", "")
	object, err := store.Watch(ctx, "k", first, time.Millisecond)
	expectKind(t, err, "")
	if object.Version() != first {
		t.Fatalf("the watch of an unchanged object returned version %q, want %q", object.Version(), first)
	}
	type result struct {
		object marigoldcroft.Object
		err    error
	}
	watch := func(knownVersion marigoldcroft.Version) <-chan result {
		results := make(chan result, 1)
		go func() {
			object, err := store.Watch(ctx, "k", knownVersion, caseTimeout)
			results <- result{object, err}
		}()
		return results
	}
	changed := watch(first)
	second := mustPut(ctx, t, store, "k", "two", first)
	got := <-changed
	expectKind(t, got.err, "")
	if got.object.Version() != second {
		t.Fatalf("the watch returned version %q after a change, want %q", got.object.Version(), second)
	}
	deleted := watch(second)
	expectKind(t, store.Delete(ctx, "k", second, "d"), "")
	expectKind(t, (<-deleted).err, mcstore.KindNotFound)
	created := watch("")
	third := mustPut(ctx, t, store, "k", "three", "")
	if got := <-created; got.err != nil || got.object.Version() != third {
		t.Fatalf("the watch returned version %q and error %v after a creation, want version %q", got.object.Version(), got.err, third)
	}
}

func checkConcurrentWrites(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	const writers = 16
	version := mustPut(ctx, t, store, "k", "one", "")
	errs := make(chan error, writers)
	for i := range writers {
		go func() {
			_, err := store.Put(ctx, "k", []byte{byte(i)}, version, strconv.Itoa(i))
			errs <- err
		}()
	}
	succeeded := 0
	for range writers {
		if err := <-errs; err == nil {
			succeeded++
		} else {
			expectKind(t, err, mcstore.KindConflict)
		}
	}
	if succeeded != 1 {
		t.Fatalf("%d concurrent writes to the same version succeeded, want 1", succeeded)
	}
}

func checkCancelledContext(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore) {
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err := store.Put(cancelled, "k", []byte("v"), "", "w")
	expectKind(t, err, mcstore.KindUnavailable)
	_, err = store.Get(cancelled, "k")
	expectKind(t, err, mcstore.KindUnavailable)
	_, err = store.Get(ctx, "k")
	expectKind(t, err, mcstore.KindNotFound)
}

func mustPut(ctx context.Context, t *testing.T, store marigoldcroft.ObjectStore, key, value string, expected marigoldcroft.Version) marigoldcroft.Version {
	t.Helper()
	version, err := store.Put(ctx, key, []byte(value), expected, value)
	expectKind(t, err, "")
	return version
}

func expectKind(t *testing.T, err error, want mcstore.Kind) {
	t.Helper()
	if got := marigoldcroft.FailureKind[mcstore.Kind](err); got != want || (err == nil) != (want == "") {
		t.Fatalf("got error %v, want kind %q", err, want)
	}
}
