package dfucontrol

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"
)

// Status is the state of the control plane as shown to operators.
type Status struct {
	Member dfuident.Member `json:"member"`
	// HasCatalogue reports whether the node has received the full catalogue at
	// least once.
	HasCatalogue bool `json:"has_catalogue"`
	// CatalogueRevision is the highest revision of any entry received so far.
	CatalogueRevision dfuident.Revision `json:"catalogue_revision"`
	// StoreEra counts how often the revisions of the store are known to have become smaller. The
	// revisions of the status are those of the store.
	StoreEra    dfuident.Era `json:"store_era,omitempty"`
	ViewVersion uint64       `json:"view_version"`
	// Invalid lists the entries whose newest value is invalid and therefore not
	// in force.
	Invalid []dfurecord.Invalid `json:"invalid,omitempty"`
	// Unreadable lists what this version can't read in the route table that is in force.
	Unreadable []dfufinding.Finding `json:"unreadable,omitempty"`
	// Rejected counts the versions of records that were rejected since the start.
	Rejected uint64 `json:"rejected"`
	// Dropped counts the records of the store that were older than those held.
	Dropped uint64 `json:"dropped"`
	// StoreError is the last failed call to the store with its error, or the
	// last response that was dropped because the event queue was full. It is
	// empty after the next successful call.
	StoreError string `json:"store_error,omitempty"`
	// Superseded reports whether a run of this node with a higher incarnation
	// was detected.
	Superseded bool `json:"superseded,omitempty"`
	// States is the number of nodes in each state.
	States map[dfuroster.State]int `json:"states"`
	// Confirmed reports whether the whole copy of the records has been confirmed
	// by the store at least once. Age is the time since the last confirmation.
	Confirmed bool              `json:"confirmed"`
	Age       dfuclock.Duration `json:"age_ms"`
	// ProofBound is the greatest age of a proof that the routes are in force, ProofAge its
	// age, and Proven is set if that is within the bound. All are empty if none is needed.
	ProofBound dfuclock.Duration `json:"proof_bound_ms,omitempty"`
	ProofAge   dfuclock.Duration `json:"proof_age_ms,omitempty"`
	Proven     bool              `json:"proven,omitempty"`
	// Watcher and Bridge report the node's roles in its zone: a watcher watches
	// the store, and the bridge exchanges membership with other regions and
	// maintains the zone page.
	Watcher bool `json:"watcher"`
	// WatchingFor is how long the node has been a watcher; zero if it is none.
	WatchingFor dfuclock.Duration `json:"watching_ms"`
	// Joined reports whether the node has synchronized its membership with a member that
	// had, or has given up on that.
	Joined     bool                     `json:"joined"`
	Bridge     bool                     `json:"bridge"`
	Membership dfumembership.Counts     `json:"membership"`
	Exchange   dfurecord.ExchangeCounts `json:"exchange"`
	// InboxRefused and OutboxRefused count the events and the outgoing packets
	// that were dropped because their queue was full.
	InboxRefused  uint64 `json:"inbox_refused"`
	OutboxRefused uint64 `json:"outbox_refused"`
	// MissedAnswers counts the watches of the store that were renewed because an answer was
	// lost.
	MissedAnswers uint64 `json:"missed_answers"`
	// FailedCalls counts the failed calls to peers.
	FailedCalls uint64 `json:"failed_calls"`
}

// Status returns the current status. The part owned by the event loop is up to
// a second old.
func (c *Controller) Status() Status {
	s := *c.status.Load()
	if message := c.storeError.Load(); message != nil {
		s.StoreError = *message
	}
	s.ProofBound = c.cfg.ProofBound
	s.ProofAge, s.Proven = c.proofStatus()
	s.Superseded = c.superseded.Load()
	s.InboxRefused = c.inbox.Dropped()
	s.OutboxRefused = c.outbox.Dropped()
	s.MissedAnswers = c.missedAnswers.Load()
	s.FailedCalls = c.failedCalls.Load()
	s.States = make(map[dfuroster.State]int)
	for _, n := range c.View().Nodes() {
		s.States[n.State]++
	}
	return s
}

// status returns the part of the status that the event loop owns.
func (l *eventLoop) status(now dfuclock.Time) *Status {
	exchange := l.keeper.Exchange()
	standing := exchange.Standing(now)
	var watchingFor dfuclock.Duration
	if l.watchingSince != 0 {
		watchingFor = now.Sub(l.watchingSince)
	}
	invalid := exchange.Set().Invalid()
	l.reportInvalid(invalid)
	for i := range invalid {
		invalid[i].Revision, invalid[i].InForce = invalid[i].Revision.InStore(), invalid[i].InForce.InStore()
	}
	var unreadable []dfufinding.Finding
	if routes := l.keeper.View().Routes(); routes != nil {
		unreadable = routes.Unreadable
	}
	return &Status{
		Unreadable:        unreadable,
		Rejected:          l.rejected,
		Dropped:           l.dropped,
		Member:            l.keeper.Membership().Self().Member,
		HasCatalogue:      exchange.Synced(),
		CatalogueRevision: exchange.Set().GreatestRevision(dfustore.CataloguePrefix).InStore(),
		StoreEra:          l.control.deps.Store.Era(),
		ViewVersion:       l.keeper.View().Version(),
		Invalid:           invalid,
		Confirmed:         standing.Confirmed,
		Age:               standing.Age,
		Watcher:           exchange.Watcher(),
		WatchingFor:       watchingFor,
		Joined:            l.keeper.Membership().Joined(),
		Bridge:            l.keeper.Membership().IsBridge(),
		Membership:        l.keeper.Membership().Counts(),
		Exchange:          exchange.Counts(),
	}
}
