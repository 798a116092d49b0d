package dfucontrol

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"
)

// Status is what operators are shown of the control duty.
type Status struct {
	Member dfuident.Member `json:"member"`
	// HasCatalogue reports whether the whole catalogue has been seen once.
	HasCatalogue bool `json:"has_catalogue"`
	// CatalogueRevision is the greatest revision met of any entry.
	CatalogueRevision dfuident.Revision `json:"catalogue_revision"`
	ViewVersion       uint64            `json:"view_version"`
	// Invalid lists the entries whose newest value is not in force.
	Invalid []dfurecord.Invalid `json:"invalid,omitempty"`
	// StoreError is the last failure of the store, empty once it answers.
	StoreError string `json:"store_error,omitempty"`
	// Superseded reports that a later run of this node lives.
	Superseded bool                    `json:"superseded,omitempty"`
	States     map[dfuroster.State]int `json:"states"`
	// Confirmed and Age say how long ago the store confirmed the records.
	Confirmed bool              `json:"confirmed"`
	Age       dfuclock.Duration `json:"age_ms"`
	// Watcher and Bridge are the node's roles in its zone.
	Watcher       bool                     `json:"watcher"`
	Bridge        bool                     `json:"bridge"`
	Membership    dfumembership.Counts     `json:"membership"`
	Exchange      dfurecord.ExchangeCounts `json:"exchange"`
	InboxRefused  uint64                   `json:"inbox_refused"`
	OutboxRefused uint64                   `json:"outbox_refused"`
	FailedCalls   uint64                   `json:"failed_calls"`
}

// Status returns the state as of the owner's last step.
func (d *Duty) Status() Status {
	s := *d.status.Load()
	if message := d.storeError.Load(); message != nil {
		s.StoreError = *message
	}
	s.Superseded = d.superseded.Load()
	s.InboxRefused = d.inbox.Refused()
	s.OutboxRefused = d.outbox.Refused()
	s.FailedCalls = d.failedCalls.Load()
	s.States = make(map[dfuroster.State]int)
	for _, n := range d.View().Nodes() {
		s.States[n.State]++
	}
	return s
}

// status returns the part of the status that only the owner knows.
func (o *owner) status(now dfuclock.Time) *Status {
	exchange := o.keeper.Exchange()
	standing := exchange.Standing(now)
	return &Status{
		Member:            o.keeper.Membership().Self().Member,
		HasCatalogue:      exchange.Synced(),
		CatalogueRevision: exchange.Set().Greatest(dfustore.CataloguePrefix),
		ViewVersion:       o.keeper.View().Version(),
		Invalid:           exchange.Set().Invalid(),
		Confirmed:         standing.Confirmed,
		Age:               standing.Age,
		Watcher:           exchange.Watcher(),
		Bridge:            o.keeper.Membership().IsBridge(),
		Membership:        o.keeper.Membership().Counts(),
		Exchange:          exchange.Counts(),
	}
}
