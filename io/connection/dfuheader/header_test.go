package dfuheader

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

var errStart = errors.New("bad start line")

func checkStart(line []byte) error {
	if string(line) != "start" {
		return errStart
	}
	return nil
}

// A header is returned without the empty lines around it, however it arrives, and what
// follows it is left. A malformed line is reported although the end of the header is missing.
func TestPeek(t *testing.T) {
	wide := "Wide: " + strings.Repeat("w", 4096) + "\r\n"
	for _, c := range []struct {
		name, in, want string
		err            error
	}{
		{"fields", "start\r\nA: 1\r\nb:\r\n\r\nrest\r\n\r\n", "start\r\nA: 1\r\nb:\r\n", nil},
		{"no fields", "start\r\n\r\nrest", "start\r\n", nil},
		{"empty lines first", "\r\n\r\nstart\r\nA: 1\r\n\r\n", "start\r\nA: 1\r\n", nil},
		{"high bytes in the value", "start\r\nA: \t\x80\xff~ \r\n\r\n", "start\r\nA: \t\x80\xff~ \r\n", nil},
		{"all name bytes", "start\r\n!#$%&'*+-.^_`|~09azAZ:1\r\n\r\n", "start\r\n!#$%&'*+-.^_`|~09azAZ:1\r\n", nil},
		{"other start", "end\r\nA", "", errStart},
		{"control byte in the start", "sta\x00rt\r\nA", "", errControl},
		{"blank in the name", "start\r\nA B: 1\r\nC", "", errFieldName},
		{"blank behind the name", "start\r\nA : 1\r\nC", "", errFieldName},
		{"folded", "start\r\nA: 1\r\n 2\r\nC", "", errFieldName},
		{"high byte in the name", "start\r\n\x80: 1\r\nC", "", errFieldName},
		{"no name", "start\r\n: 1\r\nC", "", errFieldName},
		{"no colon", "start\r\nA\r\nC", "", errFieldName},
		{"control byte in the value", "start\r\nA: \x1b\r\nC", "", errControl},
		{"delete in the value", "start\r\nA: \x7f\r\nC", "", errControl},
		{"return in the value", "start\r\nA: \rB\r\nC", "", errControl},
		{"two returns", "start\r\nA: 1\r\r\nC", "", errControl},
		{"bare line feed", "start\r\nA: 1\nC", "", errLineEnd},
		{"line feed before a name", "start\r\n\nA: 1\r\nC", "", errLineEnd},
		{"line feed first", "\nstart\r\n\r\n", "", errLineEnd},
		{"cut", "start\r\nA: 1\r\n", "", io.EOF},
		{"cut in the end", "start\r\nA: 1\r\n\r", "", io.EOF},
		{"too long", "start\r\n" + wide + "\r\n", "", bufio.ErrBufferFull},
	} {
		for _, in := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				r := bufio.NewReader(in)
				got, err := Peek(r, checkStart)
				is.True(errors.Is(err, c.err))
				is.Equal(string(got), c.want)
				if err == nil {
					rest, err := io.ReadAll(r)
					is.NoErr(err)
					is.Equal(string(rest), c.in) // nothing is consumed
				}
			})
		}
	}
}

// Trailers may be empty, and what follows them is left.
func TestPeekTrailers(t *testing.T) {
	for in, want := range map[string]error{
		"\r\nrest": nil, "A: 1\r\n\r\n": nil, "A : 1\r\n": errFieldName, " A: 1\r\n": errFieldName,
		"\n": errLineEnd, "A: 1\r\n": io.EOF, "": io.EOF,
	} {
		is.New(t).True(errors.Is(PeekTrailers(bufio.NewReader(strings.NewReader(in))), want))
	}
}

// A block of fields ends with the only empty line.
func TestCheckFields(t *testing.T) {
	for block, want := range map[string]error{
		"A: 1\r\n\r\n": nil, "\r\n": nil, "A : 1\r\n\r\n": errFieldName, "A: 1\n\r\n": errLineEnd,
		"A: 1\r\n": errNoEnd, "A: 1\r\n\r\nB: 2\r\n\r\n": errNoEnd,
	} {
		is.New(t).True(errors.Is(CheckFields([]byte(block)), want))
	}
}

func BenchmarkPeek(b *testing.B) {
	header := "start\r\nDragonflyusher-Request-Id: a@1/1\r\nEtag: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer: target\r\n" +
		"Keep-Alive: timeout=5\r\nContent-Type: text/plain; charset=utf-8\r\nDate: Mon, 07 Dec 2026 05:00:00 GMT\r\nContent-Length: 5\r\n\r\n"
	in := strings.NewReader(header)
	r := bufio.NewReader(in)
	b.SetBytes(int64(len(header)))
	for b.Loop() {
		in.Reset(header)
		r.Reset(in)
		if _, err := Peek(r, checkStart); err != nil {
			b.Fatal(err)
		}
	}
}
