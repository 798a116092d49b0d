// Package dfudial opens TCP connections that fail soon after the other end has stopped
// responding.
package dfudial
