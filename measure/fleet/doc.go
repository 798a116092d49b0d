// Package fleet measures running nodes from outside: the resource usage of their
// processes, their status pages and the number of their store calls.
package fleet
