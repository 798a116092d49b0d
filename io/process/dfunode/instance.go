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

// maxSlots bounds the slots that an instance may announce.
const maxSlots = 100_000

// instanceFields is the body of PUT /dragonflyusher/targets/INSTANCE.
type instanceFields struct {
	Service  *string            `json:"service"`
	Address  *string            `json:"address"`
	Zone     *string            `json:"zone"`
	Slots    *int               `json:"slots"`
	State    *string            `json:"state"`
	Sequence *uint64            `json:"sequence"`
	Born     dfuinstance.UnixMs `json:"born"`
	Cold     dfuclock.Duration  `json:"cold_remaining_ms"`
}

// parseInstance decodes what an instance says of itself. The findings name
// everything that keeps it from naming a target.
func parseInstance(instance dfuident.Instance, data []byte) (dfuinstance.Announcement, error) {
	var f instanceFields
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
	}
	if f.Cold < 0 {
		findings.Add("cold_remaining_ms", "must not be negative")
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

// handleInstance answers PUT and DELETE of /dragonflyusher/targets/INSTANCE. The
// answer means that what was said is in force at this node.
func (t *localTarget) handleInstance(ctx *fasthttp.RequestCtx, instance dfuident.Instance) {
	switch {
	case ctx.IsPut():
		a, err := parseInstance(instance, ctx.PostBody())
		if err == nil {
			err = t.expected(a)
		}
		if err != nil {
			t.log.Warn("announcement refused", zap.String("instance", string(instance)), zap.Error(err))
			writeError(ctx, fasthttp.StatusBadRequest, err)
			return
		}
		t.announce(a)
		writeJSON(ctx, struct{}{})
	case ctx.IsDelete():
		t.leave(instance, dfuinstance.UnixMs(time.Now().UnixMilli()))
		writeJSON(ctx, struct{}{})
	default:
		writeError(ctx, fasthttp.StatusMethodNotAllowed, errors.New("PUT an announcement or DELETE the instance"))
	}
}

// expected reports how an announcement differs from the target that the
// settings name.
func (t *localTarget) expected(a dfuinstance.Announcement) error {
	want := t.expect()
	if want.Address != "" && want.Address != a.Address {
		return errors.Newf("address is %q, the target beside this node has %q", a.Address, want.Address)
	}
	if want.Service != "" && want.Service != a.Service {
		return errors.Newf("service is %q, the target beside this node serves %q", a.Service, want.Service)
	}
	return nil
}
