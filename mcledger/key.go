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
	// ShardCount is the number of shards. It is part of the stored layout and must not
	// change while records are kept.
	ShardCount = 64
	// Retention is the age up to which a key is accepted.
	Retention = 24 * time.Hour
	// maxKeyLead is how far in the future a key may be, to allow for callers' clocks.
	maxKeyLead = 5 * time.Minute
	// removalMargin is added to Retention before a record is removed, so that an
	// instance with a fast clock does not remove what others still accept.
	removalMargin = 10 * time.Minute

	maxNameBytes    = 64
	maxAttemptBytes = 64
	uuidVersion     = 7
)

// normalizeKey checks the key and returns it with its UUID in canonical form: two
// spellings of one UUID are one key.
func normalizeKey(key marigoldcroft.ActionKey) (marigoldcroft.ActionKey, error) {
	if len(key.Team()) > maxNameBytes || len(key.Service()) > maxNameBytes {
		return key, marigoldcroft.NewFailure("begin", KindBadKey,
			errors.Newf("team and service may have %d bytes each", maxNameBytes))
	}
	id, err := uuid.Parse(key.Key())
	if err == nil && id.Version() != uuidVersion {
		err = errors.Newf("%s is a UUID of version %d", id, id.Version())
	}
	if err != nil {
		return key, marigoldcroft.NewFailure("begin", KindBadKey,
			errors.Wrap(err, "the idempotency key must be a UUID of version 7"))
	}
	return marigoldcroft.NewActionKey(key.Team(), key.Service(), id.String()), nil
}

// keyTimeMs returns the time in a UUID of version 7, or 0 for any other text.
func keyTimeMs(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion {
		return 0
	}
	return int64(binary.BigEndian.Uint64(id[:8]) >> 16)
}

// keyTimeAccepted tells whether a key with the time may be begun at now.
func keyTimeAccepted(timeMs int64, now time.Time) bool {
	age := now.Sub(time.UnixMilli(timeMs))
	return age <= Retention && age >= -maxKeyLead
}

// Shard returns the number of the shard that holds the key.
func Shard(key marigoldcroft.ActionKey) int {
	return int(xxhash.Sum64String(recordID(key.Team(), key.Service(), key.Key())) % ShardCount)
}

// recordID joins the parts with a byte that cannot be in a UUID; team and service are
// checked names of the configuration.
func recordID(team, service, key string) string { return team + "\x00" + service + "\x00" + key }
