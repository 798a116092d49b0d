package dfucontrol

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// pageSpread is the time by which each node on the page spreads the
	// writes of a zone whose nodes start together.
	pageSpread = 10 * dfuclock.Millisecond
	// maxPageSpread bounds that time.
	maxPageSpread = 2 * dfuclock.Second
	// firstPagePeriod is the time between the first two checks of the pages;
	// it doubles up to the configured period.
	firstPagePeriod = 400 * dfuclock.Millisecond
	// maxConflictWait bounds the wait after a write that another node's write
	// came before.
	maxConflictWait = dfuclock.Second
	// foreignPerZone is how many members of each other zone a page lists.
	foreignPerZone = 2
)

// pageNode is one node of a zone's page.
type pageNode struct {
	Node        dfuident.NodeID      `json:"node"`
	Incarnation dfuident.Incarnation `json:"incarnation"`
	Peer        dfuident.Address     `json:"peer"`
	HTTP        dfuident.Address     `json:"http"`
	Place       dfuident.Place       `json:"place"`
}

// join reads the zone pages until it succeeds. It returns the members listed
// and an incarnation above the one that the node's page last held.
func (d *Duty) join(ctx context.Context) (dfuident.Incarnation, []dfumembership.Seed, error) {
	wait := d.newBackoff()
	for {
		nodes, err := d.findPeers(ctx)
		if err == nil {
			return d.nextIncarnation(nodes), seedsOf(nodes), nil
		}
		d.storeFailed("read zone pages", err)
		caller, called, err := d.awaitCaller(ctx, &wait)
		if err != nil {
			return 0, nil, err
		}
		if called {
			d.deps.Log.Info("joining by a peer", zap.Stringer("peer", caller.Member))
			return d.nextIncarnation(nil), []dfumembership.Seed{{Contact: caller}}, nil
		}
	}
}

// awaitCaller waits until the store may be tried again, or until a peer calls by
// which the node may join.
func (d *Duty) awaitCaller(ctx context.Context, wait *backoff) (dfumembership.Contact, bool, error) {
	if !d.cfg.JoinByPeers {
		return dfumembership.Contact{}, false, wait.sleep(ctx)
	}
	timer := time.NewTimer(wait.take().Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return dfumembership.Contact{}, false, ctx.Err()
	case <-timer.C:
		return dfumembership.Contact{}, false, nil
	case caller := <-d.callers.Items():
		return caller, true, nil
	}
}

// findPeers reads the page of the node's own zone. Only a node that finds no
// other there reads those of its region and then all: many start at once, and
// the store may be in another region.
func (d *Duty) findPeers(ctx context.Context) ([]pageNode, error) {
	prefixes := []string{
		dfustore.ZoneKey(d.cfg.Place),
		dfustore.ZonePrefix + string(d.cfg.Place.Region) + "/",
		dfustore.ZonePrefix,
	}
	var nodes []pageNode
	for _, prefix := range prefixes {
		var err error
		if nodes, err = d.readPages(ctx, prefix); err != nil {
			return nil, err
		}
		if d.listsOthers(nodes) {
			break
		}
	}
	return nodes, nil
}

func (d *Duty) listsOthers(nodes []pageNode) bool {
	return slices.ContainsFunc(nodes, func(n pageNode) bool { return n.Node != d.cfg.Node })
}

func (d *Duty) nextIncarnation(nodes []pageNode) dfuident.Incarnation {
	incarnation := dfuident.Incarnation(d.deps.Wall().UnixMilli())
	for _, n := range nodes {
		if n.Node == d.cfg.Node {
			incarnation = max(incarnation, n.Incarnation+1)
		}
	}
	return incarnation
}

func seedsOf(nodes []pageNode) []dfumembership.Seed {
	seeds := make([]dfumembership.Seed, len(nodes))
	for i, n := range nodes {
		seeds[i].Zone = n.Place.Zone
		seeds[i].Contact = dfumembership.Contact{
			Member:  dfuident.Member{Node: n.Node, Incarnation: n.Incarnation},
			Region:  n.Place.Region,
			Address: n.Peer,
		}
	}
	return seeds
}

// readPages returns the nodes of the pages under a prefix. A page that can't
// be decoded is reported and left out.
func (d *Duty) readPages(ctx context.Context, prefix string) ([]pageNode, error) {
	records, _, err := d.deps.Store.ListRecent(ctx, prefix)
	if err != nil {
		return nil, err
	}
	d.storeAnswered()
	var nodes []pageNode
	for _, r := range records {
		if !r.Exists() {
			continue
		}
		page, err := decodePage(r)
		if err != nil {
			d.deps.Log.Warn("zone page is not valid", zap.String("key", r.Key), zap.Error(err))
		}
		nodes = append(nodes, page...)
	}
	return nodes, nil
}

func decodePage(r dfustore.Record) ([]pageNode, error) {
	if !r.Exists() {
		return nil, nil
	}
	var page []pageNode
	if err := json.Unmarshal(r.Value, &page); err != nil {
		return nil, errors.Wrap(err, "decode zone page")
	}
	return page, nil
}

// keepPage puts the node on its zone's page. From then on, while the node is
// its zone's bridge, it adds the members that are missing there, removes those
// that are gone, and tells the membership whom the pages list.
func (d *Duty) keepPage(ctx context.Context, listed int) error {
	spread := min(pageSpread*dfuclock.Duration(listed), maxPageSpread)
	if err := sleep(ctx, d.jitter(spread)); err != nil {
		return err
	}
	if err := d.untilWritten(ctx); err != nil {
		return err
	}
	d.deps.Log.Info("on the zone page", zap.Stringer("member", d.Member()))
	// Zones that start together read each other's pages too early. Which node
	// is the bridge settles only once the zone's nodes know each other.
	absent := make(gone)
	for period := firstPagePeriod; ; period = min(2*period, d.cfg.PagePeriod) {
		if err := sleep(ctx, period/2+d.jitter(period)); err != nil {
			return err
		}
		if !d.bridge.Load() {
			clear(absent)
			continue
		}
		if d.pageDiffers(ctx, absent) {
			if _, err := d.writePage(ctx, absent); err != nil && !errors.Is(err, dfustore.ErrConflict) {
				d.storeFailed("write zone page", err)
			}
		}
		d.readSeeds(ctx)
	}
}

// pageDiffers reports whether the zone's page, as it was seconds ago, seems to
// need a change.
func (d *Duty) pageDiffers(ctx context.Context, absent gone) bool {
	key := dfustore.ZoneKey(d.cfg.Place)
	records, _, err := d.deps.Store.ListRecent(ctx, key)
	if err != nil {
		d.storeFailed("read zone page", err)
		return false
	}
	for _, r := range records {
		if r.Key != key {
			continue
		}
		page, err := decodePage(r)
		if err != nil {
			return true
		}
		view := d.View()
		expired := absent.expire(page, view, d.deps.Clock.Now(), d.cfg.Membership.DeadRetention)
		return !slices.Equal(page, mergePage(page, view, d.cfg.Place, expired))
	}
	return true
}

// readSeeds tells the membership whom the pages list, if the store answers.
func (d *Duty) readSeeds(ctx context.Context) {
	nodes, err := d.readPages(ctx, dfustore.ZonePrefix)
	if err != nil {
		d.storeFailed("read zone pages", err)
		return
	}
	d.inbox.Offer(input{event: dfuroster.Seeded{Seeds: seedsOf(nodes)}})
}

func (d *Duty) untilWritten(ctx context.Context) error {
	wait := d.newBackoff()
	for {
		done, err := d.writePage(ctx, nil)
		if done {
			return nil
		}
		if errors.Is(err, dfustore.ErrConflict) {
			wait.next = min(wait.next, maxConflictWait)
		} else if err != nil {
			d.storeFailed("write zone page", err)
		}
		if err := wait.sleep(ctx); err != nil {
			return err
		}
	}
}

// writePage makes the page list every live member of the zone, so that one
// write serves all that wait for theirs, and tells the membership whom it lists.
// It reports whether the page is as it should be. A write with a lost reply is
// settled by reading the page again. Listed members that have been gone for
// long enough are removed, unless absent is nil.
func (d *Duty) writePage(ctx context.Context, absent gone) (bool, error) {
	key := dfustore.ZoneKey(d.cfg.Place)
	record, err := d.deps.Store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	d.storeAnswered()
	page, err := decodePage(record)
	if err != nil {
		d.deps.Log.Warn("zone page is replaced", zap.String("key", key), zap.Error(err))
	}
	d.inbox.Offer(input{event: dfuroster.Seeded{Seeds: seedsOf(page)}})
	view := d.View()
	expired := absent.expire(page, view, d.deps.Clock.Now(), d.cfg.Membership.DeadRetention)
	next := mergePage(page, view, d.cfg.Place, expired)
	if slices.Equal(page, next) {
		return true, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode zone page")
	}
	expect := record.Revision
	if !record.Exists() {
		expect = 0
	}
	_, err = d.deps.Store.CompareAndSwap(ctx, key, expect, value, 0)
	return err == nil, err
}

// gone holds since when listed members have not been alive in the view. While
// a member stays listed, a later run of it learns the incarnation of the former
// one, also if the clock was set back.
type gone map[dfuident.NodeID]dfuclock.Time

// expire notes which listed members are gone and returns those that have been
// for the retention period.
func (g gone) expire(page []pageNode, view *dfuroster.View, now dfuclock.Time, retention dfuclock.Duration) map[dfuident.NodeID]bool {
	if g == nil {
		return nil
	}
	expired := make(map[dfuident.NodeID]bool)
	listed := make(map[dfuident.NodeID]bool)
	for _, p := range page {
		listed[p.Node] = true
		if n, ok := view.Node(p.Node); ok && isLive(n) {
			delete(g, p.Node)
		} else if since, ok := g[p.Node]; !ok {
			g[p.Node] = now
		} else if now.Sub(since) >= retention {
			expired[p.Node] = true
		}
	}
	maps.DeleteFunc(g, func(id dfuident.NodeID, _ dfuclock.Time) bool { return !listed[id] })
	return expired
}

func isLive(n dfuroster.Node) bool {
	return n.State != dfuroster.Dead && n.State != dfuroster.Left
}

// mergePage returns the page with the view's live members of the zone at their
// greatest incarnation, and without the expired ones. It also lists a few
// members of each other zone of the region, for the nodes of a zone that start
// together know only each other.
func mergePage(page []pageNode, view *dfuroster.View, place dfuident.Place, expired map[dfuident.NodeID]bool) []pageNode {
	byNode := make(map[dfuident.NodeID]pageNode, len(page))
	for _, n := range page {
		if !expired[n.Node] {
			byNode[n.Node] = n
		}
	}
	foreign := make(map[dfuident.Place]int)
	for _, n := range preferListed(view.Nodes(), byNode) {
		old, listed := byNode[n.Member.Node]
		if !isLive(n) || listed && old.Incarnation > n.Member.Incarnation {
			continue
		}
		if n.Place == place {
			byNode[n.Member.Node] = newPageNode(n)
			continue
		}
		if n.Place.Region == place.Region && foreign[n.Place] < foreignPerZone {
			foreign[n.Place]++
			byNode[n.Member.Node] = newPageNode(n)
		} else {
			delete(byNode, n.Member.Node)
		}
	}
	next := slices.Collect(maps.Values(byNode))
	slices.SortFunc(next, func(a, b pageNode) int {
		return cmp.Compare(a.Node, b.Node)
	})
	return next
}

// preferListed moves the nodes that a page lists to the front.
func preferListed(nodes []dfuroster.Node, listed map[dfuident.NodeID]pageNode) []dfuroster.Node {
	slices.SortStableFunc(nodes, func(a, b dfuroster.Node) int {
		_, first := listed[a.Member.Node]
		_, second := listed[b.Member.Node]
		switch {
		case first && !second:
			return -1
		case second && !first:
			return 1
		default:
			return 0
		}
	})
	return nodes
}

func newPageNode(n dfuroster.Node) pageNode {
	return pageNode{
		Node: n.Member.Node, Incarnation: n.Member.Incarnation,
		Peer: n.Peer, HTTP: n.HTTP, Place: n.Place,
	}
}
