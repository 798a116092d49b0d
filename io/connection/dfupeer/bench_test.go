package dfupeer

import (
	"context"
	"net"
	"testing"

	"dragonflyusher/core/process/dfuident"
)

// largeBodyBytes is the size of a photo or artwork upload.
const largeBodyBytes = 4 << 20

// Echo is a net/rpc receiver that returns the body of the call.
type Echo struct{}

// Body copies the body into the reply.
func (Echo) Body(body []byte, reply *[]byte) error {
	*reply = body
	return nil
}

// BenchmarkRoundTrip measures calls to a peer over loopback: small calls, large
// calls, and small calls while large calls are in progress on another lane or on the
// same lane.
func BenchmarkRoundTrip(b *testing.B) {
	b.Run("small", func(b *testing.B) { measure(b, Small, 100) })
	b.Run("large", func(b *testing.B) { measure(b, Bulk, largeBodyBytes) })
	b.Run("small_beside_large", func(b *testing.B) { measureDuringLarge(b, Bulk) })
	b.Run("small_behind_large", func(b *testing.B) { measureDuringLarge(b, Small) })
}

func measure(b *testing.B, lane Lane, size int) {
	pool, address := connect(b)
	body := make([]byte, size)
	b.SetBytes(int64(size))
	for b.Loop() {
		echo(b, pool, address, lane, body)
	}
}

// measureDuringLarge measures small calls on the Small lane while large calls are
// made, one after the other, on the lane other.
func measureDuringLarge(b *testing.B, other Lane) {
	pool, address := connect(b)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		body := make([]byte, largeBodyBytes)
		for {
			select {
			case <-stop:
				return
			default:
				echo(b, pool, address, other, body)
			}
		}
	}()
	body := make([]byte, 100)
	for b.Loop() {
		echo(b, pool, address, Small, body)
	}
	close(stop)
	<-stopped
}

func echo(b *testing.B, pool *Pool, to dfuident.Address, lane Lane, body []byte) {
	var reply []byte
	if err := pool.Call(b.Context(), to, lane, "Echo.Body", body, &reply); err != nil {
		b.Error(err)
	}
}

func connect(b *testing.B) (*Pool, dfuident.Address) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := NewServer(listener)
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Register("Echo", Echo{}); err != nil {
		b.Fatal(err)
	}
	go server.Run()
	pool := NewPool(DefaultTiming(), net.IPv4(127, 0, 0, 1))
	b.Cleanup(func() {
		pool.Close()
		server.Close(context.Background())
	})
	return pool, dfuident.Address(listener.Addr().String())
}
