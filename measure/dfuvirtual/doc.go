// Package dfuvirtual provides the virtual clock of the measurements. Events run in the
// order of their times; events at the same time run in the order they were scheduled.
package dfuvirtual
