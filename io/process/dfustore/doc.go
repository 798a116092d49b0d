// Package dfustore is the client of the platform's key-value service.
//
// It never retries by itself. For a write it tells apart whether the store
// certainly did not apply it (ErrUnavailable, ErrConflict, ErrTooLarge) or may
// have applied it (ErrUncertain), since only the caller knows how to find out.
package dfustore
