package dfupeer

import "github.com/cockroachdb/errors"

var (
	// ErrNotSent means that no byte of the call left this node.
	ErrNotSent = errors.New("peer call was not sent")
	// ErrLost means that the connection failed or went silent after the call
	// may have been sent.
	ErrLost = errors.New("peer connection was lost")
	// ErrDetached means that the call goes on and its end is told elsewhere.
	ErrDetached = errors.New("peer call goes on")
)

// IsNotSent reports whether err means that no byte of the call left.
func IsNotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}
