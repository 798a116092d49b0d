// Package dfuclaim decides whether a non-idempotent request may run, so that
// each idempotency key of a service runs at most once.
//
// The keys of a service are hashed onto a fixed number of shards. Each shard has
// an owner, which is the node beside the target that runs the shard's requests,
// and a copy holder, which must acknowledge a claim before the owner grants it.
// The store has one table per service with the owner, the copy holder and the
// generation of each shard. The table is changed by compare-and-swap, and only
// when membership changes. The following rules keep a key from running twice
// without leases or timeouts:
//
//   - Only a synchronized copy holder takes over from an owner that is merely
//     suspected to be dead. After the takeover it refuses to acknowledge claims
//     of the former owner.
//   - An owner or a copy holder acts alone only if the table names no other
//     holder, or after the other holder has stated that it will never act in
//     that generation again.
//   - Any other node takes a shard over only on evidence that the processes of
//     both holders have ended.
//   - Each shard has a floor: a key that has no record and whose creation time
//     is at or before the floor is never run. Evicting a record raises the floor
//     to at least the creation time of the record's key.
//
// A Machine serves one service, that of the node's local target.
package dfuclaim
