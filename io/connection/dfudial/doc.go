// Package dfudial opens TCP connections that notice when the other end has
// gone silent.
package dfudial
