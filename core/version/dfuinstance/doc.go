// Package dfuinstance orders the announcements of targets.
//
// Announcements may arrive late, repeatedly, or after those of a later run of
// the target. Runs are ordered by their start time and the announcements of one
// run by their sequence number. A run that has left cannot return.
package dfuinstance
