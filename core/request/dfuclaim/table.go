package dfuclaim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// MaxShards is the maximum number of shards of a service.
const MaxShards = 256

// ShardEntry names the holders of one shard. A zero Owner means that the last owner
// released the shard. A zero Copy means that the owner acts alone.
type ShardEntry struct {
	Owner dfuident.Member `json:"owner"`
	Copy  dfuident.Member `json:"copy"`
	// Generation grows with every change of Owner or Copy.
	Generation dfuident.Generation `json:"generation"`
	// Floor is the creation time at or before which a key without a record never
	// runs.
	Floor UnixMs `json:"floor"`
	// Epoch is the highest claim_epoch known to the nodes that wrote the entry.
	// Operators set it in the catalogue entry.
	Epoch uint64 `json:"epoch"`
}

// Table lists the holders of the shards of one service. Treat it as immutable:
// changes are made to a clone.
type Table struct {
	Shards []ShardEntry `json:"shards"`
}

// Decode parses and validates a table encoded by Encode. It rejects unknown
// fields.
func Decode(data []byte) (Table, error) {
	var t Table
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		return Table{}, errors.Wrap(err, "decode claim table")
	}
	return t, t.Validate()
}

// Encode returns the table as JSON.
func (t Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	return data, errors.Wrap(err, "encode claim table")
}

// Validate returns an error that lists all invalid fields, or nil.
func (t Table) Validate() error {
	var l dfufinding.List
	if n := len(t.Shards); n == 0 || n > MaxShards {
		l.Add("shards", "must have 1 to %d shards, has %d", MaxShards, n)
	}
	for i, e := range t.Shards {
		place := fmt.Sprintf("shards[%d]", i)
		if e.Generation == 0 {
			l.Add(place+".generation", "must not be zero")
		}
		if e.Owner.IsZero() && !e.Copy.IsZero() {
			l.Add(place+".copy", "must be unset when owner is unset")
		}
		if !e.Owner.IsZero() && e.Owner == e.Copy {
			l.Add(place+".copy", "must differ from owner")
		}
	}
	return l.Err()
}

// Entry returns the entry of the key's shard, or the zero ShardEntry if the table
// is empty.
func (t Table) Entry(key dfuident.Key) ShardEntry {
	if len(t.Shards) == 0 {
		return ShardEntry{}
	}
	return t.Shards[ShardOf(key, len(t.Shards))]
}

// Owner returns the member that runs requests with the key. If the owner is gone,
// an entry node sends the request to the copy holder instead.
func (t Table) Owner(key dfuident.Key) dfuident.Member {
	return t.Entry(key).Owner
}

// clone returns a copy of the table that shares no memory with it.
func (t Table) clone() Table {
	t.Shards = slices.Clone(t.Shards)
	return t
}
