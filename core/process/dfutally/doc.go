// Package dfutally counts events by key in bounded memory: exactly for the keys that are
// largest of late, and together for the rest.
package dfutally
