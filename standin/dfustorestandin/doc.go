// Package dfustorestandin implements the platform's key-value service in memory,
// for tests and demonstrations. Switches inject the faults of the real service,
// such as outages, lost replies and stale reads.
package dfustorestandin
