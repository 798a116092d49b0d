// Package dfuring provides a bounded queue between goroutines.
package dfuring
