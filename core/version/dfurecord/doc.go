// Package dfurecord implements a node's copy of the records in the store:
// catalogue entries, claim ownership and zone pages.
//
// The revision of a key never decreases, whichever way a record arrives, so a
// delayed or restarted peer cannot revert a change. A deleted key leaves a
// tombstone for the same reason. Two copies find their differences by comparing
// digests of their keys and revisions.
package dfurecord
