package dfupeer

import (
	"context"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Recorder is a net/rpc receiver that records the calls that reach it.
type Recorder struct {
	mu      sync.Mutex
	arrived map[int]int
}

// Record records a call with the number n.
func (r *Recorder) Record(n int, out *int) error {
	r.mu.Lock()
	r.arrived[n]++
	r.mu.Unlock()
	time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
	*out = n
	return nil
}

// A call whose error is marked ErrNotSent must not have reached the peer, and no call may
// reach it twice or return the reply to another call, while links fail, are closed or retire
// and contexts end. Otherwise a request that ran is sent to a second target.
func TestNotSentIsTrue(t *testing.T) {
	const calls = 2000
	b := newFixture(t, shortTiming)
	recorder := &Recorder{arrived: map[int]int{}}
	b.is.NoErr(b.server.Register("Recorder", recorder))
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.IntN(3000)) * time.Microsecond):
			}
			switch i % 3 {
			case 0:
				b.pool.Reconnect(b.address(), Small)
			case 1:
				b.pool.sweep(time.Now().Add(2 * shortTiming.Idle))
			default:
				b.net.mu.Lock()
				if last := len(b.net.clientConns) - 1; last >= 0 {
					b.net.clientConns[last].Close()
				}
				b.net.mu.Unlock()
			}
		}
	})

	var mu sync.Mutex
	notSent := map[int]bool{}
	finish := func(n int, reply *int, err error) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil && *reply != n:
			t.Errorf("call %d returned the reply to call %d", n, *reply)
		case IsNotSent(err):
			notSent[n] = true
		}
	}
	var wg sync.WaitGroup
	for n := range calls {
		lane := Lane(n%2) + Small
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(b.ctx, time.Duration(rand.IntN(2000))*time.Microsecond)
			defer cancel()
			if n%100 == 0 { // some contexts end before the call
				cancel()
			}
			reply := new(int)
			wg.Add(1)
			err := b.pool.CallOrDetach(ctx, b.address(), lane, "Recorder.Record", n, reply, func(err error) {
				finish(n, reply, err)
				wg.Done()
			})
			if !errors.Is(err, ErrDetached) {
				finish(n, reply, err)
				wg.Done()
			}
		}()
		if n%8 == 0 {
			time.Sleep(100 * time.Microsecond)
		}
	}
	wg.Wait()
	close(stop)
	chaos.Wait()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for n, arrived := range recorder.arrived {
		if arrived > 1 || notSent[n] {
			t.Errorf("call %d reached the peer %d times; not sent: %v", n, arrived, notSent[n])
		}
	}
	b.is.True(len(notSent) > 0)
	b.is.True(len(recorder.arrived) > 0)
}

// rawReply is a reply as it is sent on a connection.
type rawReply struct {
	header rpc.Response
	body   int
}

// A reply that comes twice, for no call, or for a call that has ended must not become the
// reply to another call.
func TestSurplusReplyIsDropped(t *testing.T) {
	is := is.New(t)
	l := listen(is)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in, out := gob.NewDecoder(conn), gob.NewEncoder(conn)
		for {
			var request rpc.Request
			var n int
			if in.Decode(&request) != nil || in.Decode(&n) != nil {
				return
			}
			for _, r := range []rawReply{
				{rpc.Response{Seq: request.Seq + 1000}, -1},
				{rpc.Response{Seq: request.Seq - 1}, n - 1},
				{rpc.Response{Seq: request.Seq}, n},
				{rpc.Response{Seq: request.Seq}, n + 100},
			} {
				if n == 0 && r.header.Seq == request.Seq {
					continue
				}
				if out.Encode(r.header) != nil || out.Encode(r.body) != nil {
					return
				}
			}
		}
	}()
	p := NewPool(DefaultTiming(), net.IPv4(127, 0, 0, 1))
	defer p.Close()
	to := dfuident.Address(l.Addr().String())
	// The first call ends before its reply, which arrives beside that to the second.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	first := 7
	is.True(errors.Is(p.Call(ctx, to, Small, "Any.Method", 0, &first), ErrLost))
	for n := 1; n < 50; n++ {
		reply := 0
		is.NoErr(p.Call(context.Background(), to, Small, "Any.Method", n, &reply))
		is.Equal(reply, n)
	}
}
