package dfufront

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/io/connection/dfuserver"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// watchedEcho responds at once while it watches the connection, as the dispatcher does.
func watchedEcho(call Call, watchClose func(func()) func()) Result {
	defer watchClose(func() {})()
	return echo(call, nil)
}

// BenchmarkCalls measures calls one after the other on a kept connection, and in
// batches of pipelined calls.
func BenchmarkCalls(b *testing.B) {
	for _, c := range []struct {
		name  string
		depth int
	}{{"serial", 1}, {"pipelined", 8}} {
		b.Run(c.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := New(Deps{
				Handler: handlerFunc(watchedEcho), Dialect: Native{}, Log: zap.NewNop(),
				Metrics: metrics.NewRegistry(), Times: dfuhistogram.New(),
			}, dfuserver.Config{MaxHeader: 8192, MaxBody: maxBodyBytes, Pipeline: dfupipeline.Limits{Requests: 32, Bytes: 1 << 20}})
			go func() { _ = s.Run(l) }()
			defer func() { _ = s.Close(context.Background()) }()
			conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			var batch []byte
			for range c.depth {
				batch = append(batch, "GET /a HTTP/1.1\r\n"+validHeaders+"\r\n"...)
			}
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for n := 0; n < b.N; n += c.depth {
				if _, err := conn.Write(batch); err != nil {
					b.Fatal(err)
				}
				for range c.depth {
					skipResponse(b, r)
				}
			}
		})
	}
}

// skipResponse reads a response that has no body.
func skipResponse(b *testing.B, r *bufio.Reader) {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && err != io.EOF {
			b.Fatal(err)
		}
		if len(line) <= 2 {
			return
		}
	}
}
