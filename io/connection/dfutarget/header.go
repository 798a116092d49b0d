package dfutarget

import (
	"bufio"
	"bytes"
	"regexp"

	"dragonflyusher/io/connection/dfuheader"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxHeaderReads is the maximum number of response headers that are read in search
// of the final one. Interim responses, such as 103 Early Hints, are skipped.
const maxHeaderReads = 16

var (
	errNoFinalResponse  = errors.New("target did not send a final response")
	errSecondStatusLine = errors.New("response header contains a second status line")
	errStatusLine       = errors.New("response has no status line of HTTP/1 with a status from 100 to 599")
	errFaultyFraming    = errors.New("response has a Transfer-Encoding that its HTTP version does not define")
)

// readFinalHeader reads the header of the final response.
func readFinalHeader(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	for range maxHeaderReads {
		if err := readHeader(h, r); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		if h.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	return errNoFinalResponse
}

// versionWithChunks begins a header whose body may be chunked.
const versionWithChunks = "HTTP/1.1 "

var (
	transferEncoding = regexp.MustCompile(`(?im)^transfer-encoding:`)
	validStatusLine  = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9]{2}(?: |$)`)
	// interimStatusLine matches a valid status line of an interim response.
	interimStatusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +1`)

	statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)
)

// readHeader reads one header.
func readHeader(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	if _, err := peekHeader(r); err != nil {
		return err
	}
	return h.Read(r)
}

// CheckHeader waits for the header of a response and returns an error unless it is valid and
// its status is from 200 to 599. It consumes nothing.
func CheckHeader(r *bufio.Reader) error {
	header, err := peekHeader(r)
	if err == nil && interimStatusLine.Match(header) {
		return errors.WithStack(errStatusLine)
	}
	return err
}

// peekHeader waits until r has buffered a whole header, and returns an error unless it is
// valid. fasthttp takes status 000 for 200, and passes on any other number of three digits.
// In other versions than HTTP/1.1, fasthttp ignores Transfer-Encoding: any part of a chunked
// body would be a whole one that ends with the connection. RFC 9112, 6.1 has such a message
// treated as faulty. A second status line means that the response was cut and another one
// follows: fasthttp would combine the fields of both.
func peekHeader(r *bufio.Reader) ([]byte, error) {
	header, err := dfuheader.Peek(r, checkStatusLine)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read response header")
	case !bytes.HasPrefix(header, []byte(versionWithChunks)) && transferEncoding.Match(header):
		return nil, errors.WithStack(errFaultyFraming)
	case bytes.Count(header, []byte("HTTP/")) > 1 && len(statusLine.FindAllIndex(header, 2)) > 1:
		return nil, errors.WithStack(errSecondStatusLine)
	default:
		return header, nil
	}
}

func checkStatusLine(line []byte) error {
	if !validStatusLine.Match(line) {
		return errors.WithStack(errStatusLine)
	}
	return nil
}
