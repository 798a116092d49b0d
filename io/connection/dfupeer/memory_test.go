package dfupeer

import (
	"context"
	"net"
	"runtime"
	"testing"

	"dragonflyusher/core/process/dfuident"

	"github.com/matryer/is"
)

// BenchmarkIdleLinkMemory reports the memory of an idle link after one call, for both
// ends together and without the kernel's buffers.
func BenchmarkIdleLinkMemory(b *testing.B) {
	const links = 890
	is := is.New(b)
	for b.Loop() {
		server, err := NewServer(listen(is))
		is.NoErr(err)
		go server.Run()
		to := dfuident.Address(server.listener.Addr().String())
		pools := make([]*Pool, links)
		before := memoryInUse()
		for i := range pools {
			pools[i] = NewPool(DefaultTiming(), net.IPv4(127, 0, 0, 1))
			is.NoErr(pools[i].Call(context.Background(), to, Small, "Liveness.Ping", struct{}{}, &struct{}{}))
		}
		b.ReportMetric(float64(memoryInUse()-before)/links, "B/link")
		for _, p := range pools {
			p.Close()
		}
		server.Close(context.Background())
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
