package dfupeer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuident"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// closingReceiver is a net/rpc receiver whose calls return a large reply.
type closingReceiver struct {
	size     int
	returned chan struct{}
}

// Large returns a reply of the receiver's size and reports that it has.
func (r *closingReceiver) Large(_ int, out *[]byte) error {
	*out = bytes.Repeat([]byte("a"), r.size)
	r.returned <- struct{}{}
	return nil
}

// Refuse returns at once.
func (r *closingReceiver) Refuse([]byte, *int) error { return nil }

// A stopping node closed its links while it still wrote the replies of calls that had
// ended, so that the answers of requests that had run were lost. Load: other calls keep
// arriving on the link, whose unread bytes would reset it.
func TestCloseSendsRepliesOfEndedCalls(t *testing.T) {
	const rounds = 10
	for range rounds {
		is := is.New(t)
		l := listen(is)
		server, err := NewServer(l)
		is.NoErr(err)
		receiver := &closingReceiver{size: 8 << 20, returned: make(chan struct{}, 1)}
		is.NoErr(server.Register("Closing", receiver))
		pool := NewPool(DefaultTiming(), net.IPv4(127, 0, 0, 1))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		var wg sync.WaitGroup
		wg.Go(server.Run)
		to := dfuident.Address(l.Addr().String())
		var reply []byte
		done := make(chan error, 1)
		wg.Go(func() { done <- pool.Call(ctx, to, Small, "Closing.Large", 0, &reply) })
		<-receiver.returned
		stop := make(chan struct{})
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = pool.Call(ctx, to, Small, "Closing.Refuse", make([]byte, 1000), new(int))
				}
			}
		})
		time.Sleep(time.Millisecond)
		server.Close(context.Background())
		is.NoErr(<-done)
		is.Equal(len(reply), receiver.size)
		close(stop)
		cancel()
		pool.Close()
		wg.Wait()
	}
	goleak.VerifyNone(t)
}
