// Package dfustorestandin takes the place of the platform's key-value service
// in tests and demonstrations. It keeps everything in memory and has switches
// for the ways in which the real service fails.
package dfustorestandin
