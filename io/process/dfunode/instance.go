package dfunode

import (
	"encoding/json"
	"net/netip"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuinstance"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// The states that an instance announces.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// The greatest values that an instance may announce. An announcement beyond them comes from
// another writer; once accepted, it would make those of the target outdated.
const (
	maxSlots    = 100_000
	maxSequence = 1_000_000_000
	maxCold     = dfuclock.Hour
	// maxClockLead is how far the start time may be ahead of the node's clock, which may
	// have been set back since.
	maxClockLead = dfuclock.Hour
)

// instanceRequest is the body of PUT /dragonflyusher/targets/INSTANCE. A pointer
// is nil if the field is missing.
type instanceRequest struct {
	Service  *string            `json:"service"`
	Address  *string            `json:"address"`
	Zone     *string            `json:"zone"`
	Slots    *int               `json:"slots"`
	State    *string            `json:"state"`
	Sequence *uint64            `json:"sequence"`
	Born     dfuinstance.UnixMs `json:"born"`
	Cold     dfuclock.Duration  `json:"cold_remaining_ms"`
}

// parseInstance decodes and checks an announcement of an instance that arrives at the
// time now. The error lists every invalid or missing field.
func parseInstance(instance dfuident.Instance, data []byte, now dfuinstance.UnixMs) (dfuinstance.Announcement, error) {
	var f instanceRequest
	if err := json.Unmarshal(data, &f); err != nil {
		return dfuinstance.Announcement{}, errors.Wrap(err, "decode announcement")
	}
	var findings dfufinding.List
	if instance == "" {
		findings.Add("instance", "must not be empty")
	}
	if f.Service == nil || *f.Service == "" {
		findings.Add("service", "must be given")
	}
	if f.Address == nil {
		findings.Add("address", "must be given")
	} else if _, err := netip.ParseAddrPort(*f.Address); err != nil {
		findings.Add("address", "is %q, must be an IP address with a port", *f.Address)
	}
	if f.Slots == nil || *f.Slots <= 0 || *f.Slots > maxSlots {
		findings.Add("slots", "must be 1 to %d", maxSlots)
	}
	if f.State == nil || (*f.State != stateReady && *f.State != stateDraining) {
		findings.Add("state", "must be %q or %q", stateReady, stateDraining)
	}
	if f.Sequence == nil {
		findings.Add("sequence", "must be given")
	} else if *f.Sequence > maxSequence {
		findings.Add("sequence", "must be at most %d", maxSequence)
	}
	if latest := now + dfuinstance.UnixMs(maxClockLead); f.Born < 0 || f.Born > latest {
		findings.Add("born", "must be 0 to %d", latest)
	}
	if f.Cold < 0 || f.Cold > maxCold {
		findings.Add("cold_remaining_ms", "must be 0 to %d", maxCold)
	}
	if err := findings.Err(); err != nil {
		return dfuinstance.Announcement{}, err
	}
	return dfuinstance.Announcement{
		Instance: instance,
		Born:     f.Born,
		Sequence: *f.Sequence,
		Service:  dfuident.Service(*f.Service),
		Address:  dfuident.Address(*f.Address),
		Slots:    *f.Slots,
		Draining: *f.State == stateDraining,
		ColdFor:  f.Cold,
	}, nil
}

// handleInstance handles PUT and DELETE of /dragonflyusher/targets/INSTANCE. A
// response without an error means that this node has applied the request, ignored it
// as outdated, or checks the target before it applies it.
func (t *localTarget) handleInstance(ctx *fasthttp.RequestCtx, instance dfuident.Instance) {
	now := dfuinstance.UnixMs(time.Now().UnixMilli())
	switch {
	case ctx.IsPut():
		a, err := parseInstance(instance, ctx.PostBody(), now)
		if err == nil {
			err = t.checkSettings(a)
		}
		if err != nil {
			t.log.Warn("announcement rejected", zap.String("instance", string(instance)), zap.Error(err))
			writeError(ctx, fasthttp.StatusBadRequest, err)
			return
		}
		t.applyAnnouncement(a)
		writeJSON(ctx, struct{}{})
	case ctx.IsDelete():
		t.removeInstance(instance, now)
		writeJSON(ctx, struct{}{})
	default:
		writeError(ctx, fasthttp.StatusMethodNotAllowed, errors.New("method not allowed: use PUT or DELETE"))
	}
}

// checkSettings returns an error if the announcement's address or service differs
// from the target in the settings.
func (t *localTarget) checkSettings(a dfuinstance.Announcement) error {
	want := t.targetSettings()
	if want.Address != "" && want.Address != a.Address {
		return errors.Newf("address is %q, the target beside this node has %q", a.Address, want.Address)
	}
	if want.Service != "" && want.Service != a.Service {
		return errors.Newf("service is %q, the target beside this node serves %q", a.Service, want.Service)
	}
	return nil
}
