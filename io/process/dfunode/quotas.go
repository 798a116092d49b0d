package dfunode

import (
	"context"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/io/process/dfusettings"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/io/request/dfudispatch"
	"dragonflyusher/io/request/dfuquotas"
)

// eraStore is implemented by store clients that detect when the store was restored from an
// older copy.
type eraStore interface {
	Era() (era uint64, ok bool)
}

// leasedStore is a Numbered with the calls for leases, which have no revisions.
type leasedStore struct {
	*dfustore.Numbered
	leases
}

type leases interface {
	GrantLease(ctx context.Context, ttl dfuclock.Duration) (dfustore.LeaseID, error)
	KeepAlive(ctx context.Context, lease dfustore.LeaseID) error
}

// newQuotas returns the quotas of a run of the node, or nil if the settings have none.
func (n *Node) newQuotas(ctx context.Context, self dfuident.Member) *dfuquotas.Quotas {
	settings := n.settings.Quota
	if settings.Window == 0 {
		return nil
	}
	era := func() (uint64, bool) { return 0, false }
	if s, ok := n.store.(eraStore); ok {
		era = s.Era
	}
	return dfuquotas.New(ctx, dfuquotas.Deps{
		Self:       self,
		Bounds:     quotaBounds(settings),
		Clock:      dfuclock.Boot{},
		Log:        n.log,
		Metrics:    n.metrics,
		PeerClient: controlCaller{n.pool},
		Store:      leasedStore{n.numbered, n.store},
		Era:        era,
	})
}

func quotaBounds(s dfusettings.Quota) dfuquota.Bounds {
	return dfuquota.Bounds{Window: s.Window.Duration(), Overage: s.Overage, Tolerance: s.Tolerance}
}

// dispatcherQuota returns q as the dispatcher's dependency, which is nil if q is.
func dispatcherQuota(q *dfuquotas.Quotas) dfudispatch.Quota {
	if q == nil {
		return nil
	}
	return q
}
