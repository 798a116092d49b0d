// Package dfuscenario describes what the emulator plays: a deployment (places,
// services, VMs), the requests of its callers, and what goes wrong during one day.
//
// A scenario is one JSON object with snake_case names; times are in milliseconds.
// ReadDay takes a day of the users' site files, which have their own words, into the
// same form and lists what the emulator doesn't play.
package dfuscenario
