// Package dfustore defines what the system asks of the platform's key-value
// service: records, leases and the errors that tell what became of a call.
//
// A store never retries by itself. For a write it tells apart whether the store
// certainly did not apply it (ErrUnavailable, ErrConflict, ErrTooLarge) or may
// have applied it (ErrUncertain), since only the caller knows how to find out.
package dfustore
