package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// windowBytes is the size of the receive buffers of a relay.
const windowBytes = 64 << 10

// rate is the capacity of one direction of a network link that all connections share.
type rate struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
}

// take waits until n bytes have been carried.
func (r *rate) take(n int) {
	r.mu.Lock()
	if now := time.Now(); r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(n) / r.bytesPerSecond * float64(time.Second)))
	wait := time.Until(r.free)
	r.mu.Unlock()
	time.Sleep(wait)
}

// relay accepts the connections of other nodes for one node. It carries the bytes of those
// from another region at the rate of the link between the regions.
type relay struct {
	listener net.Listener
	to       string
	// link returns the link of a connection from an IP address in both directions: to the
	// node and from it. Both are nil for a connection without a limit.
	link func(from string) (to, back *rate)
}

// startRelay starts a relay, which relays until the process ends.
func startRelay(ctx context.Context, listen, to string, link func(from string) (to, back *rate)) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	r := &relay{listener: l, to: to, link: link}
	go r.run(ctx)
	return nil
}

func (r *relay) run(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(ctx, c)
	}
}

func (r *relay) serve(ctx context.Context, in net.Conn) {
	defer in.Close()
	out, err := new(net.Dialer).DialContext(ctx, "tcp", r.to)
	if err != nil {
		return
	}
	defer out.Close()
	host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	to, back := r.link(host)
	done := make(chan struct{}, 2)
	go pump(in, out, to, done)
	go pump(out, in, back, done)
	<-done
}

// pump copies bytes until one of the connections ends.
func pump(from, to net.Conn, limit *rate, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	if tcp, ok := from.(*net.TCPConn); ok && limit != nil {
		_ = tcp.SetReadBuffer(windowBytes)
	}
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if limit != nil {
				limit.take(n)
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
