package dfunode

import (
	"net/netip"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuinstance"
)

// FuzzAnnouncement checks that decoding an announcement never panics, and that an
// accepted announcement has a valid address, service, instance, number of slots and
// cold time.
func FuzzAnnouncement(f *testing.F) {
	const fuzzedAt = 1_700_000_000_000
	f.Add("i-1", []byte(`{"service":"lager","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":100}`))
	f.Add("i-1", []byte(`{"service":7,"address":null,"slots":-1,"state":"asleep","born":"now"}`))
	f.Add("", []byte(`[`))
	f.Fuzz(func(t *testing.T, instance string, data []byte) {
		a, err := parseInstance(dfuident.Instance(instance), data, fuzzedAt)
		if err != nil {
			return
		}
		if _, err := netip.ParseAddrPort(string(a.Address)); err != nil || a.Service == "" || a.Instance == "" || a.Slots <= 0 || a.ColdFor < 0 ||
			a.ColdFor > maxCold || a.Born > fuzzedAt+dfuinstance.UnixMs(maxClockLead) {
			t.Fatalf("invalid announcement %+v was accepted", a)
		}
	})
}
