package dfutarget

import (
	"bufio"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// answerForm is what a target sends for one request.
type answerForm struct {
	name, method, bytes string
	// status and body are those of the answer; status is 0 if the bytes are no answer.
	status int
	body   string
	// rest is the number of bytes after the answer, which do not belong to it.
	rest int
	// untilClose is set if the end of the connection ends the answer.
	untilClose bool
}

// answerForms returns answers in the forms that a target may send, and some that
// are not valid.
func answerForms() []answerForm {
	const ok, lf = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\n"
	const own = "Own: a\r\n"
	const chunks = "3\r\nabc\r\n2;ext\r\nde\r\n0\r\n"
	const follower = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	wide := "Wide: " + strings.Repeat("w", 3900) + "\r\n"
	return []answerForm{
		{name: "length", bytes: ok + own + "Content-Length: 12\r\n\r\nabcdefghijkl", status: 200, body: "abcdefghijkl"},
		{name: "length first", bytes: ok + "Content-Length: 12\r\n" + own + "\r\nabcdefghijkl", status: 200, body: "abcdefghijkl"},
		{name: "empty body", bytes: ok + own + "Content-Length: 0\r\n\r\n", status: 200},
		{name: "end of a head in the body", bytes: ok + own + "Content-Length: 12\r\n\r\nabcd\r\n\r\nijkl", status: 200, body: "abcd\r\n\r\nijkl"},
		{name: "chunks", bytes: ok + own + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", status: 200, body: "abcde"},
		{name: "trailers", bytes: ok + "Trailer: A, B\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "A: 1\r\nB: 2\r\n\r\n", status: 200, body: "abcde"},
		{name: "chunks and a length", bytes: ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", status: 200, body: "abcde"},
		{name: "until close", bytes: ok + own + "\r\nabcde", status: 200, body: "abcde", untilClose: true},
		{name: "until close, announced", bytes: ok + own + "Connection: close\r\n\r\nabcde", status: 200, body: "abcde", untilClose: true},
		{name: "until close, empty", bytes: ok + own + "\r\n", status: 200, untilClose: true},
		{name: "HEAD", method: "HEAD", bytes: ok + own + "Content-Length: 12\r\n\r\n", status: 200},
		{name: "HEAD with a body", method: "HEAD", bytes: ok + own + "Content-Length: 5\r\n\r\nabcde", status: 200, rest: 5},
		{name: "204", bytes: "HTTP/1.1 204 No Content\r\n" + own + "\r\n", status: 204},
		{name: "304", bytes: "HTTP/1.1 304 Not Modified\r\n" + own + "Content-Length: 12\r\n\r\n", status: 304},
		{name: "interim", bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + own + "Content-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "interim, until close", bytes: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + own + "\r\nabcde", status: 200, body: "abcde", untilClose: true},
		{name: "empty lines first", bytes: "\r\n\r\n" + ok + own + "Content-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "HTTP/1.0 with a length", bytes: "HTTP/1.0 200 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "HTTP/1.0 until close", bytes: "HTTP/1.0 200 OK\r\n" + own + "\r\nabcde", status: 200, body: "abcde", untilClose: true},
		{name: "folded field", bytes: ok + "Own: a\r\n b\r\n\tc\r\nContent-Length: 5\r\n\r\nabcde"},
		{name: "folded empty field", bytes: ok + "Own: a\r\n \r\nContent-Length: 5\r\n\r\nabcde"},
		{name: "folded length", bytes: ok + own + "Content-Length:\r\n 5\r\n\r\nabcde"},
		{name: "folded length, until close follows", bytes: ok + own + "Content-Length: 1\r\n 2\r\n\r\nabcde"},
		{name: "bare line feeds", bytes: lf + "Own: a\nContent-Length: 5\n\nabcde"},
		{name: "bare line feeds, end of a head in the body", bytes: lf + "Own: a\nContent-Length: 12\n\nabcd\r\n\r\nijkl"},
		{name: "some bare line feeds", bytes: lf + "Own: a\nContent-Length: 5\r\n\r\nabcde"},
		{name: "head of nearly 4 KiB", bytes: ok + wide + "Content-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "head of more than 4 KiB", bytes: ok + wide + wide + "Content-Length: 5\r\n\r\nabcde"},
		{name: "another answer behind", bytes: ok + own + "Content-Length: 5\r\n\r\nabcde" + follower, status: 200, body: "abcde", rest: len(follower)},
		{name: "another answer behind 204", bytes: "HTTP/1.1 204 No Content\r\n" + own + "\r\n" + follower, status: 204, rest: len(follower)},
		{name: "protocol in a field", bytes: ok + "Via: HTTP/1.1 a, HTTP/1.0 b\r\nContent-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "another answer in the status line", bytes: "HTTP/1.1 500 Internal" + follower},
		{name: "another answer in a field", bytes: ok + "Own: a" + follower},
		{name: "equal lengths", bytes: ok + "Content-Length: 5\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "list of equal lengths", bytes: ok + own + "Content-Length: 5, 5\r\n\r\nabcde"},
		{name: "signed length", bytes: ok + own + "Content-Length: +5\r\n\r\nabcde"},
		{name: "empty length", bytes: ok + own + "Content-Length:\r\n\r\nabcde"},
		{name: "length above the integers", bytes: ok + own + "Content-Length: 18446744073709551621\r\n\r\nabcde"},
		{name: "chunks, then a length", bytes: ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n" + chunks + "\r\n", status: 200, body: "abcde"},
		{name: "chunked twice", bytes: ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		{name: "two codings", bytes: ok + own + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n"},
		{name: "empty coding", bytes: ok + own + "Transfer-Encoding:\r\n\r\n" + chunks + "\r\n"},
		{name: "control byte in the reason phrase", bytes: "HTTP/1.1 200 O\x00K\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "high byte in the reason phrase", bytes: "HTTP/1.1 200 \xe4 \u20ac\r\n" + own + "Content-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "HTTP/1.0 with chunks", bytes: "HTTP/1.0 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		{name: "HTTP/1.0 with chunks and a length", bytes: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		{name: "status 000", bytes: "HTTP/1.1 000 \r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "status 000, chunks", bytes: "HTTP/1.1 000 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		{name: "status 000, until close", bytes: "HTTP/1.1 000\r\n" + own + "\r\nabcde", untilClose: true},
		{name: "status 099 before an answer", bytes: "HTTP/1.1 099 Early\r\n\r\n" + follower},
		{name: "status 600", bytes: "HTTP/1.1 600 Odd\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "status 999", bytes: "HTTP/1.1 999 Odd\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "status of two digits", bytes: "HTTP/1.1 20 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "status of four digits", bytes: "HTTP/1.1 2000 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "signed status", bytes: "HTTP/1.1 +20 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "no status", bytes: "HTTP/1.1 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "status after a line break", bytes: "HTTP/1.1 \r\n200 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "another protocol", bytes: "HTTP/2.0 200 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "no version", bytes: "HTTP 200 OK\r\n" + own + "Content-Length: 5\r\n\r\nabcde"},
		{name: "no reason phrase", bytes: "HTTP/1.1 200\r\n" + own + "Content-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "unknown version with chunks", bytes: "HTTP/1.2 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
	}
}

// cuts returns the numbers of bytes after which the form is cut: each, but of a long one
// only the first and the last.
func (f answerForm) cuts() []int {
	const atEachEnd = 120
	var cuts []int
	for cut := range len(f.bytes) + 1 {
		if cut < atEachEnd || cut > len(f.bytes)-atEachEnd {
			cuts = append(cuts, cut)
		}
	}
	return cuts
}

// check reads the first cut bytes of the form from r, after which the input ends with
// end, and returns a description of what is wrong with the result, or "".
func (f answerForm) check(c *Client, r io.Reader, cut int, end error) string {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body := bodyReader{limit: maxAnswerBytes}
	err := c.readResponse(resp, &body, bufio.NewReader(r), f.method)
	whole := len(f.bytes) - f.rest
	if f.untilClose && errors.Is(end, io.EOF) && c.cfg.Dialect.AllowsUntilClose() {
		whole -= len(f.body) // a close in order ends the body, wherever it comes
	} else if f.untilClose {
		whole = len(f.bytes) + 1
	}
	isWhole := f.status != 0 && cut >= whole
	switch {
	case err != nil && isWhole:
		return "a whole answer failed: " + err.Error()
	case err == nil && !isWhole:
		return "a cut answer was taken as whole, with the body " + string(body.body)
	case err == nil && resp.StatusCode() != f.status:
		return "another status"
	case err == nil && string(body.body) != f.body[:len(f.body)-max(0, len(f.bytes)-f.rest-cut)]:
		return "another body: " + string(body.body)
	}
	return ""
}

// Callers got a success with an empty or short body after a target had stopped in the
// middle of its answer's head. An answer that ends at any byte, in order or by a
// reset, must fail unless what arrived is whole, however the bytes are split.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	readers := map[string]func(io.Reader) io.Reader{
		"at once":           func(r io.Reader) io.Reader { return r },
		"byte by byte":      iotest.OneByteReader,
		"in halves":         iotest.HalfReader,
		"end with the data": iotest.DataErrReader,
	}
	for _, dialect := range []Dialect{Native{}, untilClose{}} {
		c := New(Config{Dialect: dialect, AnswerLimit: maxAnswerBytes})
		for _, f := range answerForms() {
			for split, reader := range readers {
				for _, end := range []error{io.EOF, syscall.ECONNRESET} {
					for _, cut := range f.cuts() {
						r := reader(io.MultiReader(strings.NewReader(f.bytes[:cut]), iotest.ErrReader(end)))
						if fault := f.check(c, r, cut, end); fault != "" {
							t.Errorf("%T, %s, %s, %v after %d of %d bytes: %s", dialect, f.name, split, end, cut, len(f.bytes), fault)
						}
					}
				}
			}
		}
	}
}

// FuzzReadResponse checks that whatever bytes a target sends, an answer has a status from 200
// to 599.
func FuzzReadResponse(f *testing.F) {
	for _, form := range answerForms() {
		f.Add(form.bytes, form.method)
	}
	c := New(Config{Dialect: untilClose{}, AnswerLimit: maxAnswerBytes})
	f.Fuzz(func(t *testing.T, bytes, method string) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		body := bodyReader{limit: maxAnswerBytes}
		err := c.readResponse(resp, &body, bufio.NewReader(strings.NewReader(bytes)), method)
		if line, _, _ := strings.Cut(resp.Header.String(), "\r\n"); err == nil && checkStatusLine([]byte(line)) != nil {
			t.Errorf("%q is no answer: %q", bytes, line)
		}
		if err == nil && (resp.StatusCode() < fasthttp.StatusOK || resp.StatusCode() > 599) {
			t.Errorf("status %d of %q", resp.StatusCode(), bytes)
		}
	})
}
