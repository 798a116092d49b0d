// Package dfumemory divides a limited memory among the bodies that a node holds: which get
// their bytes, which wait, and which have to end because they pause while others wait.
package dfumemory
