// Package dfucallerstandin implements callers for tests, demonstrations and
// measurements of the latency that a node adds to a call.
package dfucallerstandin
