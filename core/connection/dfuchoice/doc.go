// Package dfuchoice chooses the target that a request is sent to.
//
// A Chooser belongs to one entry node. It knows three things about a target:
// how many requests this node has in flight there, the load that the target's
// node last put on an answer, with its age, and how earlier requests ended.
// None of them is exact, so the choice is only a first guess: the target's
// node may refuse the request before it runs, and the entry node then asks the
// Chooser for another target.
//
// The Chooser keeps working with no load signals at all, on its own in-flight
// counts and observed latencies.
package dfuchoice
