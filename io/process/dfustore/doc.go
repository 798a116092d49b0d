// Package dfustore defines the interface to the platform's key-value service:
// records, leases and the errors of calls.
//
// A Store never retries a call. The error of a failed write shows whether the
// service certainly did not apply it (ErrUnavailable, ErrConflict, ErrTooLarge) or
// may have applied it (ErrUncertain). After ErrUncertain, only the code that made the
// call can find out whether the write was applied.
package dfustore
