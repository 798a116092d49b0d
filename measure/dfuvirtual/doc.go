// Package dfuvirtual is the virtual clock of the measurements: events in the order of
// their times, and of their scheduling where those are the same.
package dfuvirtual
