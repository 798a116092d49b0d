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
	// errBadInput marks wrong usage and wrong input.
	errBadInput = errors.New("bad input")
	// errRejected marks a change that lost against another one. The report
	// has been printed already.
	errRejected = errors.New("rejected")
	// errUnknown marks a change of which nobody can tell yet whether it was
	// accepted. The report has been printed already.
	errUnknown = errors.New("unknown")
	// errFailed marks a command that found a problem and has reported it.
	errFailed = errors.New("failed")
)

// badInput returns an error about wrong usage.
func badInput(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errBadInput)
}

// exitStatus maps an error to the exit status. Of several combined errors the
// first decides.
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

// reported tells whether the command has printed all there is to say.
func reported(err error) bool {
	return errors.IsAny(err, errRejected, errUnknown, errFailed)
}
