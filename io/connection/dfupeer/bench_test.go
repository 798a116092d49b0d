package dfupeer

import (
	"net"
	"testing"

	"dragonflyusher/core/process/dfuident"
)

// largeBody is the size in bytes of a photo or artwork upload.
const largeBody = 4 << 20

// Echo answers with the body that it gets.
type Echo struct{}

// Body copies the body into the reply.
func (Echo) Body(body []byte, reply *[]byte) error {
	*reply = body
	return nil
}

// BenchmarkRoundTrip measures calls to a peer over loopback: a small one, a
// large one, and a small one while large ones are on another lane or on its own.
func BenchmarkRoundTrip(b *testing.B) {
	b.Run("small", func(b *testing.B) { measure(b, Small, 100) })
	b.Run("large", func(b *testing.B) { measure(b, Bulk, largeBody) })
	b.Run("small_beside_large", func(b *testing.B) { measureBeside(b, Bulk) })
	b.Run("small_behind_large", func(b *testing.B) { measureBeside(b, Small) })
}

func measure(b *testing.B, lane Lane, size int) {
	pool, address := connect(b)
	body := make([]byte, size)
	b.SetBytes(int64(size))
	for b.Loop() {
		echo(b, pool, address, lane, body)
	}
}

// measureBeside measures small calls while a large call is always under way on
// the other lane.
func measureBeside(b *testing.B, other Lane) {
	pool, address := connect(b)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		body := make([]byte, largeBody)
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
		server.Close()
	})
	return pool, dfuident.Address(listener.Addr().String())
}
