// Package dfuscenario defines the input of the emulator: a deployment (zones, services,
// VMs), the requests of its callers, and the disruptions during a run.
//
// A scenario is one JSON object with snake_case names; times are in milliseconds.
// ReadDay converts one day of the users' site files (TOML), which use other terms, to a
// scenario and lists the disruptions that the emulator does not support.
package dfuscenario
