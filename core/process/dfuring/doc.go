// Package dfuring provides the bounded ring that joins two goroutines.
package dfuring
