package dfuheader

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

var (
	errLineEnd   = errors.New("line doesn't end with CR LF")
	errFieldName = errors.New("field line doesn't begin with a name and a colon")
	errControl   = errors.New("line has a control byte")
	errNoEnd     = errors.New("fields don't end with an empty line")
)

// Peek waits until r has buffered a whole header and returns its lines, without the empty
// lines before and after them. They are valid until r is used again. Peek consumes nothing.
// It returns an error as soon as it has read a line that is malformed, or for whose content
// checkStart returns an error if it is the first one.
func Peek(r *bufio.Reader, checkStart func(line []byte) error) ([]byte, error) {
	return peek(r, scanner{checkStart: checkStart})
}

// PeekTrailers waits until r has buffered all trailers and the empty line behind them. It
// returns an error as soon as it has read a line that is malformed. It consumes nothing.
func PeekTrailers(r *bufio.Reader) error {
	_, err := peek(r, scanner{started: true})
	return err
}

// CheckFields returns an error unless the block is well-formed field lines with an empty line
// behind them.
func CheckFields(block []byte) error {
	s := scanner{started: true}
	switch ended, err := s.scan(block); {
	case err != nil:
		return err
	case !ended || s.next != len(block):
		return errNoEnd
	default:
		return nil
	}
}

func peek(r *bufio.Reader, s scanner) ([]byte, error) {
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, errors.WithStack(err)
		}
		ended, err := s.scan(buffered)
		if err != nil {
			return nil, err
		}
		if ended {
			return buffered[s.begin : s.next-len("\r\n")], nil
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, errors.Wrap(err, "read header")
		}
	}
}

// scanner scans the lines of a header while it arrives.
type scanner struct {
	// checkStart checks the content of the first line.
	checkStart func(line []byte) error
	// started is set behind the first line, where only fields may follow.
	started bool
	// begin is the index of the first line, next that of the first line that was not
	// scanned yet.
	begin, next int
}

// scan scans the further lines of buffered, which begins with what was scanned before. It
// reports whether it has scanned the empty line at the end.
func (s *scanner) scan(buffered []byte) (ended bool, err error) {
	for {
		end := bytes.IndexByte(buffered[s.next:], '\n')
		if end < 0 {
			return false, nil
		}
		line, ok := bytes.CutSuffix(buffered[s.next:s.next+end], []byte("\r"))
		if !ok {
			return false, errors.WithStack(errLineEnd)
		}
		s.next += end + 1
		switch {
		case len(line) == 0 && s.started:
			return true, nil
		case len(line) == 0:
			s.begin = s.next
		case s.started:
			err = checkField(line)
		case hasControl(line):
			err = errors.WithStack(errControl)
		default:
			s.started = true
			err = s.checkStart(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// checkField returns an error unless a line is a name, a colon and a value. A value may have
// bytes above 0x7f.
func checkField(line []byte) error {
	colon := 0
	for colon < len(line) && isNameByte[line[colon]] {
		colon++
	}
	if colon == 0 || colon == len(line) || line[colon] != ':' {
		return errors.WithStack(errFieldName)
	}
	if hasControl(line[colon+1:]) {
		return errors.WithStack(errControl)
	}
	return nil
}

// hasControl reports whether there is a control byte other than a tab.
func hasControl(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return true
		}
	}
	return false
}

// isNameByte is set for the bytes that a name may have.
var isNameByte = nameBytes()

func nameBytes() (table [256]bool) {
	for b := '0'; b <= '9'; b++ {
		table[b] = true
	}
	for b := 'a'; b <= 'z'; b++ {
		table[b], table[b-'a'+'A'] = true, true
	}
	for _, b := range "!#$%&'*+-.^_`|~" {
		table[b] = true
	}
	return table
}
