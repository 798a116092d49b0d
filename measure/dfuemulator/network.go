package dfuemulator

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

const bitsPerByte = 8

// network delivers messages after their delay. All messages queue for the bandwidth of
// the VMs' own links, and those between regions also for that of the link between
// regions.
type network struct {
	cfg   dfuscenario.Network
	clock *dfuvirtual.Clock
	// regionLinkFree is when the outgoing link of each region is free again.
	regionLinkFree map[dfuident.Region]dfuvirtual.Instant
	// zoneBytes and regionBytes count the bytes sent between zones and between
	// regions.
	zoneBytes, regionBytes dfuident.Bytes
}

func newNetwork(cfg dfuscenario.Network, clock *dfuvirtual.Clock) *network {
	return &network{cfg: cfg, clock: clock, regionLinkFree: make(map[dfuident.Region]dfuvirtual.Instant)}
}

// transferTime returns the transmission time of a message.
func transferTime(size dfuident.Bytes, mbps float64) dfuvirtual.Instant {
	if mbps <= 0 {
		return 0
	}
	return dfuvirtual.Instant(float64(size) * bitsPerByte / mbps)
}

// transferEnd returns when a link that is free from the given instant on has
// transmitted a message.
func transferEnd(now, free dfuvirtual.Instant, size dfuident.Bytes, mbps float64) dfuvirtual.Instant {
	return max(now, free) + transferTime(size, mbps)
}

// send delivers a message from one VM to another. It is dropped if either VM is down.
func (n *network) send(from, to *vm, size dfuident.Bytes, deliver func()) {
	if !from.up {
		return
	}
	if from == to {
		n.clock.After(0, deliver)
		return
	}
	now := n.clock.Now()
	from.outboundFree = transferEnd(now, from.outboundFree, size, from.linkMbps)
	at := from.outboundFree
	delay := n.cfg.SameZoneMs
	switch {
	case from.place.Region != to.place.Region:
		n.regionBytes += size
		free := transferEnd(at, n.regionLinkFree[from.place.Region], size, n.cfg.RegionMbps)
		n.regionLinkFree[from.place.Region] = free
		at, delay = free, n.cfg.FarRegionMs
	case from.place.Zone != to.place.Zone:
		n.zoneBytes += size
		delay = n.cfg.SameRegionMs
	}
	to.inboundFree = transferEnd(at, to.inboundFree, size, to.linkMbps)
	n.clock.After(to.inboundFree-now+dfuvirtual.Milliseconds(delay), func() {
		if to.up {
			deliver()
		}
	})
}
