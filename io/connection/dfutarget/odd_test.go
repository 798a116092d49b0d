package dfutarget

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// oddLine is a line in the place of a field that is none.
type oddLine struct{ kind, line string }

// oddLines returns lines that RFC 9112, section 5, doesn't allow.
func oddLines() []oddLine {
	lines := []oddLine{
		{"no name", ": v"},
		{"no colon", "X-Odd"},
		{"folded", " v"},
		{"folded", "\tv"},
		{"blank in the name", "Content- Length: 3"},
		{"blank in the name", "Transfer- Encoding: chunked"},
		{"blank behind the name", "Content-Length : 3"},
		{"blank behind the name", "Content-Length\t: 3"},
		{"blank behind the name", "Transfer-Encoding : chunked"},
		{"blank behind the name", "Dragonflyusher-Request-Id : a@1/2"},
		{"blank before the name", " Content-Length: 3"},
		{"blank before the name", "\tTransfer-Encoding: chunked"},
		{"line end in the value", "X-Odd: a\nContent-Length: 3"},
		{"line end before the name", "\nContent-Length: 3"},
	}
	for _, separator := range "()<>@,;\\\"/[]?={}" {
		lines = append(lines, oddLine{"separator in the name", fmt.Sprintf("X%cOdd: v", separator)})
	}
	for _, high := range []string{"\x80", "\xff", "ä"} {
		lines = append(lines, oddLine{"high byte in the name", "X" + high + "Odd: v"})
	}
	for c := range 0x80 {
		if c > ' ' && c < 0x7f {
			continue
		}
		kind, b := "control byte", string([]byte{byte(c)})
		if c == ' ' || c == '\t' {
			kind = "blank"
		}
		lines = append(
			lines,
			oddLine{kind + " before the name", b + "X-Odd: v"},
			oddLine{kind + " in the name", "X" + b + "Odd: v"},
			oddLine{kind + " behind the name", "X-Odd" + b + ": v"},
		)
		if kind != "blank" {
			lines = append(lines, oddLine{"control byte in the value", "X-Odd: a" + b + "b"})
		}
	}
	return lines
}

// oddPlaces returns answers that have a line in each place where a field may stand.
func oddPlaces(line string) map[string]string {
	places := map[string]string{}
	for _, status := range []string{"200 OK", "500 Failed", "503 Full"} {
		for framing, body := range map[string]string{
			"Content-Length: 11\r\n":         "\r\nhello world",
			"Transfer-Encoding: chunked\r\n": "\r\nb\r\nhello world\r\n0\r\n\r\n",
			"":                               "\r\nhello world",
		} {
			start, own := "HTTP/1.1 "+status+"\r\n", "Dragonflyusher-Not-Run: 1\r\n"+framing
			name := status + " " + framing
			places[name+"first"] = start + line + "\r\n" + own + body
			places[name+"last"] = start + own + line + "\r\n" + body
			places[name+"between"] = start + framing + line + "\r\nOwn: a\r\n" + body
		}
	}
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n"
	places["first trailer"] = chunked + line + "\r\nOwn: a\r\n\r\n"
	places["last trailer"] = chunked + "Own: a\r\n" + line + "\r\n\r\n"
	places["interim"] = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world"
	return places
}

// Callers got answers in whose head the name of a field held a blank, with that line, without
// it, or with a part of the body. An answer with a line that is no field, in its head, in an
// interim head or among its trailers, must fail, and one with a proper line must not.
func TestAnswerWithOddFieldIsNoAnswer(t *testing.T) {
	c := New(Config{Dialect: untilClose{}, AnswerLimit: maxAnswerBytes})
	read := func(method string, r io.Reader) (string, error) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		body := bodyReader{limit: maxAnswerBytes}
		err := c.readResponse(resp, &body, bufio.NewReader(r), method)
		return string(body.body), err
	}
	plays, wrong := map[string]int{}, map[string]int{}
	for _, odd := range oddLines() {
		for place, answer := range oddPlaces(odd.line) {
			for _, method := range []string{"GET", "POST", "HEAD"} {
				if method == "HEAD" && strings.Contains(place, "trailer") {
					continue // the answer ends behind its head
				}
				for _, r := range []io.Reader{strings.NewReader(answer), iotest.OneByteReader(strings.NewReader(answer))} {
					plays[odd.kind]++
					if body, err := read(method, r); err == nil {
						wrong[odd.kind]++
						if wrong[odd.kind] == 1 {
							t.Errorf("%s: %q, %s, %s: taken as an answer with the body %q", odd.kind, odd.line, place, method, body)
						}
					}
				}
			}
		}
	}
	for kind, n := range plays {
		t.Logf("%s: %d of %d plays are wrong", kind, wrong[kind], n)
	}
	for _, line := range []string{"X-Odd: v", "!#$%&'*+-.^_`|~09azAZ: \t v\t\x80\xff \t", "X-Empty:", "X-Empty: \t"} {
		for place, answer := range oddPlaces(line) {
			if body, err := read("GET", strings.NewReader(answer)); err != nil || body != "hello world" {
				t.Errorf("%q, %s: got %q, %v", line, place, body, err)
			}
		}
	}
}

// A target in trouble counted as in service, or reported its load, in an answer in whose head
// the name of a field held a blank or a control byte.
func TestOddFieldIsNoHealthAndNoLoad(t *testing.T) {
	for _, odd := range []string{"X Odd: v", "X-Odd : v", " X-Odd: v", "X-Odd\x00: v", "X-Odd: a\nb: c"} {
		t.Run(odd, func(t *testing.T) {
			is := is.New(t)
			answer := "HTTP/1.1 200 OK\r\nOwn: a\r\n" + odd + "\r\nContent-Length: 2\r\n\r\nok"
			_, client := newTarget(t, true, answer, answer)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			health, err := client.CheckHealth(ctx, "/")
			is.True(errors.Is(err, ErrInterrupted))
			is.True(!health.InService)
			_, err = client.FetchLoad(ctx, "/")
			is.True(errors.Is(err, ErrInterrupted))
		})
	}
}

// FuzzAnswerIsReadAlike checks that net/http reads the same status, fields and body in each
// answer that is passed on. Otherwise a caller could get another answer than the target gave.
func FuzzAnswerIsReadAlike(f *testing.F) {
	for _, form := range answerForms() {
		f.Add(form.bytes, form.method)
	}
	for _, odd := range oddLines() {
		f.Add("HTTP/1.1 200 OK\r\nOwn: a\r\n"+odd.line+"\r\nContent-Length: 5\r\n\r\nabcde", "GET")
	}
	c := New(Config{Dialect: untilClose{}, AnswerLimit: maxAnswerBytes})
	f.Fuzz(func(t *testing.T, bytes, method string) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		resp.Header.SetNoDefaultContentType(true)
		body := bodyReader{limit: maxAnswerBytes}
		if c.readResponse(resp, &body, bufio.NewReader(strings.NewReader(bytes)), method) != nil {
			return
		}
		answer := copyResponse(resp, body.body)
		other, err := readFinal(bytes, method)
		if err != nil {
			t.Fatalf("net/http can't read %q: %v", bytes, err)
		}
		defer other.Body.Close()
		otherBody, err := io.ReadAll(other.Body)
		if err != nil || string(otherBody) != string(answer.Body) || other.StatusCode != answer.Status {
			t.Errorf("%q: got %d %q, net/http %d %q, %v", bytes, answer.Status, answer.Body, other.StatusCode, otherBody, err)
		}
		for _, h := range answer.Headers {
			if !slices.Contains(other.Header.Values(h.Name), h.Value) {
				t.Errorf("%q: got the field %q, net/http %q", bytes, h, other.Header)
			}
		}
	})
}

// readFinal has net/http read the final response.
func readFinal(bytes, method string) (*http.Response, error) {
	r := bufio.NewReader(strings.NewReader(bytes))
	for {
		for b, _ := r.Peek(2); string(b) == "\r\n"; b, _ = r.Peek(2) {
			_, _ = r.Discard(len(b))
		}
		response, err := http.ReadResponse(r, &http.Request{Method: cmp.Or(method, http.MethodGet)})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}
