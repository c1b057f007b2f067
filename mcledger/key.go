package mcledger

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
)

const (
	// ShardCount is the number of shards. It determines where records are stored and must
	// not change while any are kept.
	ShardCount = 64
	// Retention is the maximum age of a key that is accepted.
	Retention = 24 * time.Hour
	// maxKeyLead is how far in the future the timestamp of a key may lie, to tolerate the
	// clock skew of callers.
	maxKeyLead = 5 * time.Minute
	// removalMargin is the time for which records are kept beyond Retention, so that an
	// instance with a fast clock does not remove records of keys that others still accept.
	removalMargin = 10 * time.Minute

	maxNameBytes    = 64
	maxAttemptBytes = 64
	uuidVersion     = 7
)

// normalizeKey validates the key and returns it with its UUID in canonical form, so
// that different spellings of one UUID are the same key.
func normalizeKey(key marigoldcroft.ActionKey) (marigoldcroft.ActionKey, error) {
	if len(key.Team()) > maxNameBytes || len(key.Service()) > maxNameBytes {
		return key, marigoldcroft.NewFailure("begin", KindInvalidKey,
			errors.Newf("team and service may have %d bytes each", maxNameBytes))
	}
	id, err := uuid.Parse(key.Key())
	if err == nil && id.Version() != uuidVersion {
		err = errors.Newf("%s is a UUID of version %d", id, id.Version())
	}
	if err != nil {
		return key, marigoldcroft.NewFailure("begin", KindInvalidKey,
			errors.Wrap(err, "the idempotency key must be a UUID of version 7"))
	}
	return marigoldcroft.NewActionKey(key.Team(), key.Service(), id.String()), nil
}

// keyTimeMs returns the timestamp of a UUID of version 7 in Unix milliseconds, or 0 for
// any other string.
func keyTimeMs(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion {
		return 0
	}
	return int64(binary.BigEndian.Uint64(id[:8]) >> 16)
}

// keyTimeAccepted reports whether Begin accepts a key with the given timestamp at now.
func keyTimeAccepted(timeMs int64, now time.Time) bool {
	age := now.Sub(time.UnixMilli(timeMs))
	return age <= Retention && age >= -maxKeyLead
}

// Shard returns the number of the shard that stores the key's record.
func Shard(key marigoldcroft.ActionKey) int {
	return int(xxhash.Sum64String(recordID(key.Team(), key.Service(), key.Key())) % ShardCount)
}

// recordID joins the parts with NUL bytes. A UUID cannot contain one, and team and
// service are names that the configuration has validated.
func recordID(team, service, key string) string { return team + "\x00" + service + "\x00" + key }
