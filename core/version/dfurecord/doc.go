// Package dfurecord holds a node's copy of the records that the store keeps:
// catalogue entries, ownership of claims and zone pages.
//
// A record only ever moves to a greater store revision, whichever way it
// arrives, so that nothing a late or restarted peer says can revert a change.
// A deleted key leaves a tombstone for the same reason. Two copies find where
// they differ by digests of their keys and revisions.
package dfurecord
