package dfufront

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/request/dfumessage"

	"github.com/matryer/is"
)

// respondURI responds with the method and the URI of the call after a delay in which
// more requests can arrive.
func respondURI(call Call, watchClose func(func()) func()) Result {
	defer watchClose(func() {})()
	time.Sleep(2 * time.Millisecond)
	return Result{Outcome: dfuoutcome.Answered, Answer: dfumessage.Answer{Status: 200, Body: []byte(call.Method + call.URI)}}
}

// Pipelined requests reach the handler unchanged, although the connection is watched
// for a close while each of them runs. The requests arrive in segments that end
// anywhere, so that some are buffered while others are still to be read.
func TestPipelinedRequestsAreUnchanged(t *testing.T) {
	const count = 120
	var requests strings.Builder
	for n := range count {
		fmt.Fprintf(&requests, "GET /%d HTTP/1.1\r\n%s\r\n", n, validHeaders)
	}
	for _, segment := range []int{1 << 20, 700, 180, 101, 37} {
		t.Run(fmt.Sprint(segment), func(t *testing.T) {
			is := is.New(t)
			conn := startServer(t, respondURI)()
			go func() {
				for rest := requests.String(); rest != ""; {
					n := min(segment, len(rest))
					_, _ = conn.Write([]byte(rest[:n]))
					time.Sleep(time.Millisecond)
					rest = rest[n:]
				}
			}()
			r := bufio.NewReader(conn)
			for n := range count {
				is.Equal(string(receive(is, r, "GET").body), fmt.Sprintf("GET/%d", n))
			}
		})
	}
}
