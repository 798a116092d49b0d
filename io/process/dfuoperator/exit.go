package dfuoperator

import (
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// ExitStatus is the exit status of the program.
type ExitStatus int

// The exit statuses, which docs/CATALOGUE.md documents.
const (
	ExitOK          ExitStatus = 0
	ExitFailed      ExitStatus = 1
	ExitBadInput    ExitStatus = 2
	ExitConflict    ExitStatus = 3
	ExitUnknown     ExitStatus = 4
	ExitUnavailable ExitStatus = 5
)

var (
	// errBadInput marks invalid arguments and invalid input.
	errBadInput = errors.New("bad input")
	// errRejected marks a change that was rejected because another change was
	// made from the same revision. The command has already reported it.
	errRejected = errors.New("rejected")
	// errUnknown marks a change for which it couldn't be determined whether it
	// was accepted. The command has already reported it.
	errUnknown = errors.New("unknown")
	// errFailed marks a failure that the command has already reported.
	errFailed = errors.New("failed")
)

// badInput returns an error about invalid arguments or input.
func badInput(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errBadInput)
}

// exitStatus returns the exit status for an error. Of combined errors the first
// one counts.
func exitStatus(err error) ExitStatus {
	var findings *dfufinding.Error
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return ExitOK
	case errors.As(err, &findings), errors.As(err, &usage),
		errors.IsAny(err, errBadInput, dfustore.ErrTooLarge):
		return ExitBadInput
	case errors.IsAny(err, errRejected, dfustore.ErrConflict):
		return ExitConflict
	case errors.IsAny(err, errUnknown, dfustore.ErrUncertain):
		return ExitUnknown
	case errors.Is(err, dfustore.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// isReported reports whether the command has already printed the error.
func isReported(err error) bool {
	return errors.IsAny(err, errRejected, errUnknown, errFailed)
}
