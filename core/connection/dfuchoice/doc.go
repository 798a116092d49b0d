// Package dfuchoice chooses the target that a request is sent to.
//
// Each entry node has its own Chooser. Its inputs for a target are the number
// of requests this node has in flight there, the latest load reported by the
// target's node, with its age, and the outcomes of earlier requests. All of
// them are approximate, so a choice is provisional: the target's node may
// refuse the request before running it, and the entry node then asks the
// Chooser for another target.
//
// If no loads are reported, the Chooser uses only its own in-flight counts and
// observed latencies.
package dfuchoice
