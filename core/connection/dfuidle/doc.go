// Package dfuidle orders the connections that wait for their callers, so that the one that has
// waited for longest can make room for another.
package dfuidle
