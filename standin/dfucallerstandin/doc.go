// Package dfucallerstandin plays callers for tests, demonstrations and the
// measurement of what a node adds to a call.
package dfucallerstandin
