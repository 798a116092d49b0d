package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// UnixMs is a wall-clock time in milliseconds since the Unix epoch.
type UnixMs int64

// ShardIndex is the index of a shard within its service's table.
type ShardIndex int

// ErrBadKey is returned for a key that is not a UUID of version 7 in its
// canonical form.
var ErrBadKey = errors.New("idempotency key is not a UUIDv7")

// uuidTimeVersion is the UUID version that embeds a Unix time.
const uuidTimeVersion = 7

// KeyCreationTime returns the creation time embedded in a key. The key must be a
// UUIDv7 in the canonical lower-case form of 36 characters, so that each key has
// exactly one spelling. Otherwise the error is ErrBadKey.
func KeyCreationTime(key dfuident.Key) (UnixMs, error) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != uuidTimeVersion || id.String() != string(key) {
		return 0, ErrBadKey
	}
	var ms UnixMs
	for _, b := range id[:6] {
		ms = ms<<8 | UnixMs(b)
	}
	return ms, nil
}

// ShardOf returns the shard that a key hashes to, given the number of shards.
func ShardOf(key dfuident.Key, shards int) ShardIndex {
	return ShardIndex(xxhash.Sum64String(string(key)) % uint64(shards))
}
