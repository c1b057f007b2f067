package marigoldcroft

import (
	"context"
	"time"
)

// Version is the opaque version of a stored object; "" means that the object does not exist.
type Version string

// Object is a stored value with its key, its version and the id of the write that made it.
type Object struct {
	key     string
	value   []byte
	version Version
	writeID string
}

// NewObject returns an object.
func NewObject(key string, value []byte, version Version, writeID string) Object {
	return Object{key: key, value: value, version: version, writeID: writeID}
}

// Key returns the object's key.
func (o Object) Key() string { return o.key }

// Value returns the stored bytes; the caller must not change them.
func (o Object) Value() []byte { return o.value }

// Version returns the version.
func (o Object) Version() Version { return o.version }

// WriteID returns the id of the write that made this version.
func (o Object) WriteID() string { return o.writeID }

// ObjectEntry is one entry of a list of objects: a key and its version, without the value.
type ObjectEntry struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// ObjectReader reads from the platform's object store. Package mcstore has functions that
// classify the errors (IsNotFound and others).
type ObjectReader interface {
	Get(ctx context.Context, key string) (Object, error)
	// List returns up to limit entries with the prefix whose keys sort after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]ObjectEntry, error)
	// Watch returns the object as soon as its version differs from known. If it has not changed
	// within wait, Watch returns the known version and its write id, and may omit the value.
	// For a deleted object it returns a not-found error.
	Watch(ctx context.Context, key string, known Version, wait time.Duration) (Object, error)
}

// ObjectWriter writes to the platform's object store. Each write carries a writeID, which
// must be unique to the attempt. A write whose answer was lost returns an error of the kind
// unknown: it may have taken effect.
type ObjectWriter interface {
	// Put stores value if the object's current version equals expected. If expected is "", it
	// creates the object and fails if the object exists.
	Put(ctx context.Context, key string, value []byte, expected Version, writeID string) (Version, error)
	// Delete removes the object if its current version equals expected.
	Delete(ctx context.Context, key string, expected Version, writeID string) error
}

// EraReader is implemented by object stores that can come back from an older copy of their content.
// What was written after that copy is lost then, although it was acknowledged.
type EraReader interface {
	// Era returns how often the store has come back from an older copy, as of its last answer.
	Era() uint64
}

// StoreEra returns the era of the store, or 0 if it never loses what it has acknowledged. Read after
// an object, it is at least the era in which the object was read.
func StoreEra(store ObjectReader) uint64 {
	if r, ok := store.(EraReader); ok {
		return r.Era()
	}
	return 0
}

// ObjectStore reads from and writes to the platform's object store.
type ObjectStore interface {
	ObjectReader
	ObjectWriter
}
