// Package fleet measures running nodes from outside: what the system says of
// their processes, what their pages say, and how often they call the store.
package fleet
