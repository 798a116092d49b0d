// Package dfuclaim decides whether a non-idempotent request may run, so that
// each key of a service runs at most once.
//
// A service's keys are spread over a fixed number of shards. Each shard has an
// owner, the node beside the target that runs the shard's requests, and a copy
// holder, which must acknowledge a claim before the owner grants it. Who holds
// a shard in which generation stands in one table per service in the store and
// is changed by compare-and-swap, on membership changes only. These rules keep
// a key from running twice without any lease or timeout:
//
//   - Only a synchronized copy holder takes over from an owner that is merely
//     suspected, and from then on it refuses acknowledgements.
//   - An owner or a copy holder acts alone only after the other has stated
//     that it will never act in that generation again, or by the table.
//   - Anybody else needs evidence that both holders' runs have ended.
//   - A shard has a floor: a key without a record that was born at or before
//     it is never run. Whoever forgets a record raises the floor first.
//
// One machine serves the one service of the node's local target.
package dfuclaim
