package dfuemulator

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// bitsPerByte converts bandwidths.
const bitsPerByte = 8

// network delivers messages after their delay. Those between regions queue for the
// bandwidth of the link, and all for that of the VMs' own.
type network struct {
	cfg   dfuscenario.Network
	clock *dfuvirtual.Clock
	// regions is when each direction of the link between regions is free again.
	regions map[dfuident.Region]dfuvirtual.Instant
	// zoneBytes and regionBytes are what crossed between zones and regions.
	zoneBytes, regionBytes dfuident.Bytes
}

func newNetwork(cfg dfuscenario.Network, clock *dfuvirtual.Clock) *network {
	return &network{cfg: cfg, clock: clock, regions: make(map[dfuident.Region]dfuvirtual.Instant)}
}

// transferTime returns how long a link carries some bytes.
func transferTime(size dfuident.Bytes, mbps float64) dfuvirtual.Instant {
	if mbps <= 0 {
		return 0
	}
	return dfuvirtual.Instant(float64(size) * bitsPerByte / mbps)
}

// queued returns when a link that is free from an instant on has carried some bytes.
func queued(now, free dfuvirtual.Instant, size dfuident.Bytes, mbps float64) dfuvirtual.Instant {
	return max(now, free) + transferTime(size, mbps)
}

// send delivers a message from one VM to another. It is lost if either is down.
func (n *network) send(from, to *vm, size dfuident.Bytes, deliver func()) {
	if !from.up {
		return
	}
	if from == to {
		n.clock.After(0, deliver)
		return
	}
	now := n.clock.Now()
	from.linkOut = queued(now, from.linkOut, size, from.linkMbps)
	at := from.linkOut
	delay := n.cfg.SameZoneMs
	switch {
	case from.place.Region != to.place.Region:
		n.regionBytes += size
		free := queued(at, n.regions[from.place.Region], size, n.cfg.RegionMbps)
		n.regions[from.place.Region] = free
		at, delay = free, n.cfg.FarRegionMs
	case from.place.Zone != to.place.Zone:
		n.zoneBytes += size
		delay = n.cfg.SameRegionMs
	}
	to.linkIn = queued(at, to.linkIn, size, to.linkMbps)
	n.clock.After(to.linkIn-now+dfuvirtual.Milliseconds(delay), func() {
		if to.up {
			deliver()
		}
	})
}
