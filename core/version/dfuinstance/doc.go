// Package dfuinstance orders what a target says of itself.
//
// Announcements may arrive late, repeated or after their sender's successor has
// spoken. Runs of a target are ordered by their time of birth, the
// announcements of one run by their sequence, and a run that left stays gone.
package dfuinstance
