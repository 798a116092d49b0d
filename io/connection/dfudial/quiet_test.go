package dfudial_test

import (
	"net"
	"testing"
	"time"

	"dragonflyusher/io/connection/dfudial"

	"github.com/matryer/is"
)

// newPair returns both ends of a connection.
func newPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { client.Close() })
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { server.Close() })
	return client, server
}

// Closing a connection that is quiet costs a new one, and reusing one that has unread data
// mixes answers. A deadline that has passed must make no difference.
func TestIsQuiet(t *testing.T) {
	for name, deadline := range map[string]time.Time{"no deadline": {}, "deadline passed": time.Unix(1, 0)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := newPair(t)
			is.NoErr(client.SetReadDeadline(deadline))
			is.True(dfudial.IsQuiet(client))
			_, err := server.Write([]byte("surplus"))
			is.NoErr(err)
			is.True(becomesUnquiet(client))

			client, server = newPair(t)
			is.NoErr(client.SetReadDeadline(deadline))
			server.Close()
			is.True(becomesUnquiet(client))
		})
	}
}

// becomesUnquiet waits until a connection has data or its end has arrived.
func becomesUnquiet(conn net.Conn) bool {
	for range 1000 {
		if !dfudial.IsQuiet(conn) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
