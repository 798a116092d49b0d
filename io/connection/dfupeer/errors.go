package dfupeer

import "github.com/cockroachdb/errors"

var (
	// ErrNotSent means that no byte of the call left this node.
	ErrNotSent = errors.New("peer call was not sent")
	// ErrLost means that the call may have been sent, and that the connection
	// failed, went silent, or the context ended before the response.
	ErrLost = errors.New("peer connection was lost")
	// ErrDetached means that the call continues, and that its result will be passed
	// to the callback given to CallOrDetach.
	ErrDetached = errors.New("peer call continues in the background")
)

// IsNotSent reports whether err is marked ErrNotSent.
func IsNotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}
