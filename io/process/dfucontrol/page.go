package dfucontrol

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// firstWriteSpread is the maximum random delay before a node that found no
	// other node of its zone writes the zone page. The others make contact with the
	// node that writes first.
	firstWriteSpread = 500 * dfuclock.Millisecond
	// contactTimeout is how long a node that found others of its zone on the page
	// waits for contact with one of them.
	contactTimeout = 1500 * dfuclock.Millisecond
	// listTimeout, plus a random part of listSpread, is how long a node in contact
	// with others of its zone waits for the zone's bridge to add it to the page.
	listTimeout = 5 * dfuclock.Second
	listSpread  = 3 * dfuclock.Second
	// bridgeDelay is how long after its start a node that considers itself the bridge
	// waits until it writes the page for the zone. Before that it may not know the
	// others.
	bridgeDelay = 700 * dfuclock.Millisecond
	// batchDelay is how long the bridge waits for more nodes when it has found one
	// that the page doesn't list.
	batchDelay = 300 * dfuclock.Millisecond
	// listPollPeriod is how often a waiting node checks its contacts. That needs no
	// call to the store.
	listPollPeriod = 100 * dfuclock.Millisecond
	// minPagePeriod is the initial mean time between checks of the pages. It
	// doubles up to Config.PagePeriod.
	minPagePeriod = 400 * dfuclock.Millisecond
	// maxConflictWait is the maximum delay before a retry of a write that
	// conflicted with the write of another node.
	maxConflictWait = dfuclock.Second
	// maxListedPerOtherZone is the maximum number of members of each other zone
	// that a page lists.
	maxListedPerOtherZone = 2
)

// pageNode is one node of a zone page. A zone page is the store record that lists
// the members of a zone, and a few members of the region's other zones, as a JSON
// array.
type pageNode struct {
	Node        dfuident.NodeID      `json:"node"`
	Incarnation dfuident.Incarnation `json:"incarnation"`
	Peer        dfuident.Address     `json:"peer"`
	HTTP        dfuident.Address     `json:"http"`
	Place       dfuident.Place       `json:"place"`
}

// member returns the run of the node that the page lists.
func (n pageNode) member() dfuident.Member {
	return dfuident.Member{Node: n.Node, Incarnation: n.Incarnation}
}

// joining is the result of reading the zone pages at the start.
type joining struct {
	incarnation dfuident.Incarnation
	// listed holds the nodes that the pages list.
	listed []pageNode
	seeds  []dfumembership.Seed
}

// join reads the zone pages until it succeeds, or until a peer contacts the node
// if the configuration allows to join that way. The incarnation is above the one that
// the pages list for this node.
func (c *Controller) join(ctx context.Context) (joining, error) {
	retry := c.newBackoff(c.cfg.RetryMax)
	for {
		nodes, err := c.findPeers(ctx)
		if err == nil {
			return joining{incarnation: c.nextIncarnation(nodes), listed: nodes, seeds: seedsOf(nodes)}, nil
		}
		c.recordStoreFailure("read zone pages", err)
		peer, found, err := c.awaitJoinCandidate(ctx, &retry)
		if err != nil {
			return joining{}, err
		}
		if found {
			c.deps.Log.Info("store unavailable; joining through a peer", zap.Stringer("peer", peer.Member))
			return joining{incarnation: c.nextIncarnation(nil), seeds: []dfumembership.Seed{{Contact: peer}}}, nil
		}
	}
}

// awaitJoinCandidate waits for the backoff delay before the next call to the
// store. With JoinByPeers it returns earlier, with a peer, if one contacts this
// node.
func (c *Controller) awaitJoinCandidate(ctx context.Context, retry *backoff) (dfumembership.Contact, bool, error) {
	if !c.cfg.JoinByPeers {
		return dfumembership.Contact{}, false, retry.sleep(ctx)
	}
	timer := time.NewTimer(retry.nextDelay().Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return dfumembership.Contact{}, false, ctx.Err()
	case <-timer.C:
		return dfumembership.Contact{}, false, nil
	case peer := <-c.joinCandidates.Items():
		return peer, true, nil
	}
}

// findPeers reads the page of the node's own zone. If that lists no other node,
// it reads the pages of the region and then all pages. It starts small since many
// nodes may start at once and the store may be in another region.
func (c *Controller) findPeers(ctx context.Context) ([]pageNode, error) {
	prefixes := []string{
		dfustore.ZoneKey(c.cfg.Place),
		dfustore.ZonePrefix + string(c.cfg.Place.Region) + "/",
		dfustore.ZonePrefix,
	}
	var nodes []pageNode
	for _, prefix := range prefixes {
		var err error
		if nodes, err = c.readPages(ctx, prefix); err != nil {
			return nil, err
		}
		if c.listsOthers(nodes) {
			break
		}
	}
	return nodes, nil
}

func (c *Controller) listsOthers(nodes []pageNode) bool {
	return slices.ContainsFunc(nodes, func(n pageNode) bool { return n.Node != c.cfg.Node })
}

// nextIncarnation returns the wall-clock time in Unix milliseconds, or a higher
// value if the nodes list this node with an equal or higher incarnation.
func (c *Controller) nextIncarnation(nodes []pageNode) dfuident.Incarnation {
	incarnation := dfuident.Incarnation(c.deps.Wall().UnixMilli())
	for _, n := range nodes {
		if n.Node == c.cfg.Node {
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

// readPages returns the nodes of the pages under a prefix. Pages and entries that can't
// be decoded are logged and ignored. The result may be seconds old.
func (c *Controller) readPages(ctx context.Context, prefix string) ([]pageNode, error) {
	records, _, err := c.deps.Store.ListStale(ctx, prefix)
	if err != nil {
		return nil, err
	}
	c.recordStoreSuccess()
	var nodes []pageNode
	for _, r := range records {
		if !r.Exists() {
			continue
		}
		page, err := decodePage(r)
		if err != nil {
			c.deps.Log.Warn("ignoring what is invalid on a zone page", zap.String("key", r.Key), zap.Error(err))
		}
		nodes = append(nodes, page...)
	}
	return nodes, nil
}

// decodePage returns the valid nodes of a zone page, and an error that lists the entries
// that are not.
func decodePage(r dfustore.Record) ([]pageNode, error) {
	if !r.Exists() {
		return nil, nil
	}
	entries, err := dfudecode.Elements(r.Value)
	if err != nil {
		return nil, errors.Wrap(err, "decode zone page")
	}
	var page []pageNode
	var findings dfufinding.List
	for i, entry := range entries {
		n, err := decodePageNode(entry)
		if err != nil {
			findings.Add("["+strconv.Itoa(i)+"]", "%s", err.Error())
			continue
		}
		page = append(page, n)
	}
	return page, findings.Err()
}

// maxIncarnation is above the Unix time in milliseconds at which any node starts. A greater
// value could be raised no further.
const maxIncarnation dfuident.Incarnation = 1 << 42

func decodePageNode(entry []byte) (pageNode, error) {
	var n pageNode
	if err := json.Unmarshal(entry, &n); err != nil {
		return pageNode{}, err
	}
	if n.Node == "" || n.Place.Region == "" || n.Place.Zone == "" {
		return pageNode{}, errors.New("must have a node, a region and a zone")
	}
	if n.Incarnation > maxIncarnation {
		return pageNode{}, errors.Newf("incarnation must be at most %d, got %d", maxIncarnation, n.Incarnation)
	}
	if _, err := netip.ParseAddrPort(string(n.Peer)); err != nil {
		return pageNode{}, errors.Newf("peer is %q, must be an IP address with a port", n.Peer)
	}
	return n, nil
}

// maintainPage waits until the node is on its zone page. After that, while the node is
// its zone's bridge, it adds missing members to the page, removes members that have
// been absent for the retention period, and passes the nodes of all pages to the
// membership protocol as seeds.
func (c *Controller) maintainPage(ctx context.Context, found []pageNode) error {
	if err := c.ensureListed(ctx, found); err != nil {
		return err
	}
	c.deps.Log.Info("on the zone page", zap.Stringer("member", c.Member()))
	absent := make(absentSince)
	// The period starts short, since zones that start at the same time read
	// each other's pages before they are written, and since the bridge is only
	// agreed on once the zone's nodes have discovered each other.
	for period := minPagePeriod; ; period = min(2*period, c.cfg.PagePeriod) {
		if err := c.awaitPageCheck(ctx, period/2+c.jitter(period)); err != nil {
			return err
		}
		if !c.bridge.Load() {
			clear(absent)
			continue
		}
		if c.pageDiffers(ctx, absent) {
			if _, err := c.writePage(ctx, absent, nil); err != nil && !errors.Is(err, dfustore.ErrConflict) {
				c.recordStoreFailure("write zone page", err)
			}
		}
		c.readSeeds(ctx)
	}
}

// awaitPageCheck waits for the given time or, on the bridge, until the zone has a
// member that the page did not list when this node last read or wrote it.
func (c *Controller) awaitPageCheck(ctx context.Context, wait dfuclock.Duration) error {
	for end := c.deps.Clock.Now().Add(wait); c.deps.Clock.Now().Before(end); {
		if c.bridge.Load() && c.hasUnlistedMember() {
			return sleep(ctx, batchDelay)
		}
		if err := sleep(ctx, min(listPollPeriod, wait)); err != nil {
			return err
		}
	}
	return nil
}

// hasUnlistedMember reports whether the zone has a live member that lastPage doesn't
// list.
func (c *Controller) hasUnlistedMember() bool {
	return slices.ContainsFunc(c.View().Nodes(), func(n dfuroster.Node) bool {
		return n.Place == c.cfg.Place && isLive(n) && !slices.ContainsFunc(c.lastPage, func(p pageNode) bool {
			return p.Node == n.Member.Node && p.Incarnation >= n.Member.Incarnation
		})
	})
}

// pageDiffers reports whether the zone page needs an update. It uses
// ListStale, since the platform charges a tenth of a List for it. The version read
// may be seconds old.
func (c *Controller) pageDiffers(ctx context.Context, absent absentSince) bool {
	key := dfustore.ZoneKey(c.cfg.Place)
	records, _, err := c.deps.Store.ListStale(ctx, key)
	if err != nil {
		c.recordStoreFailure("read zone page", err)
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
		view := c.View()
		c.lastPage = page
		expired := absent.expire(page, view, c.deps.Clock.Now(), c.cfg.Membership.DeadRetention)
		return !slices.Equal(page, mergePage(page, view, c.cfg.Place, expired))
	}
	return true
}

// readSeeds passes the nodes of all pages to the event loop as seeds of the
// membership protocol, and returns them.
func (c *Controller) readSeeds(ctx context.Context) []pageNode {
	nodes, err := c.readPages(ctx, dfustore.ZonePrefix)
	if err != nil {
		c.recordStoreFailure("read zone pages", err)
		return nil
	}
	c.inbox.Offer(input{event: dfuroster.SeedsListed{Seeds: seedsOf(nodes)}})
	return nodes
}

// meetRegions makes contact with the other regions at once if the node is expected to
// become its zone's bridge: zone pages list no nodes of other regions, and the bridge reads
// all pages only after it has written its own. Nodes that start together don't all answer
// yet, so that the node tries until it knows one or that time has come.
func (c *Controller) meetRegions(ctx context.Context, listed []pageNode) error {
	var zone []dfuident.NodeID
	for _, n := range listed {
		if n.Place == c.cfg.Place {
			zone = append(zone, n.Node)
		}
	}
	if !c.listsZonePeer(listed) || dfumembership.BridgeRank(c.cfg.Node, zone) >= startReaders {
		return nil
	}
	seeds := seedsOf(c.readSeeds(ctx))
	if !slices.ContainsFunc(seeds, func(s dfumembership.Seed) bool { return s.Contact.Region != c.cfg.Place.Region }) {
		return nil
	}
	for deadline := c.deps.Clock.Now().Add(bridgeDelay); c.deps.Clock.Now().Before(deadline); {
		if err := sleep(ctx, listPollPeriod); err != nil {
			return err
		}
		if !c.bridge.Load() || c.knowsOtherRegion() {
			return nil
		}
		c.inbox.Offer(input{event: dfuroster.SeedsListed{Seeds: seeds}})
	}
	return nil
}

// knowsOtherRegion reports whether the view has a live node of another region.
func (c *Controller) knowsOtherRegion() bool {
	return slices.ContainsFunc(c.View().Nodes(), func(n dfuroster.Node) bool {
		return n.Place.Region != c.cfg.Place.Region && isLive(n)
	})
}

// ensureListed returns once the zone page lists this node. A node that has contact
// with others of its zone waits for the zone's bridge to add it, since one write serves
// all nodes that start at the same time. It writes the page itself if it finds no other
// node, or if the bridge takes too long.
func (c *Controller) ensureListed(ctx context.Context, found []pageNode) error {
	started := c.deps.Clock.Now()
	if !c.listsZonePeer(found) {
		if err := sleep(ctx, c.jitter(firstWriteSpread)); err != nil {
			return err
		}
		done, err := c.listFirst(ctx)
		if done {
			return nil
		}
		if err != nil {
			c.recordStoreFailure("write zone page", err)
		}
	}
	if err := c.awaitBridge(ctx, started); err != nil {
		return err
	}
	retry := c.newBackoff(c.cfg.RetryMax)
	for {
		done, err := c.checkListed(ctx)
		if done {
			return nil
		}
		if errors.Is(err, dfustore.ErrConflict) {
			retry.delay = min(retry.delay, maxConflictWait)
		} else if err != nil {
			c.recordStoreFailure("write zone page", err)
		}
		if err := retry.sleep(ctx); err != nil {
			return err
		}
	}
}

// listFirst writes the zone page unless it lists another node of the zone by now, and
// reports whether it has. The node that writes the first page of its zone also reads
// the records for the others, which copy them.
func (c *Controller) listFirst(ctx context.Context) (bool, error) {
	page, err := c.readPages(ctx, dfustore.ZoneKey(c.cfg.Place))
	if err != nil {
		return false, err
	}
	c.inbox.Offer(input{event: dfuroster.SeedsListed{Seeds: seedsOf(page)}})
	if c.listsZonePeer(page) {
		return false, nil
	}
	done, err := c.writePage(ctx, nil, c.listsZonePeer)
	if errors.Is(err, dfustore.ErrConflict) {
		return false, nil
	}
	if done && c.cfg.ReadAtStart {
		c.requestRead()
	}
	return done, err
}

// awaitBridge waits while another node of the zone is expected to list this node.
func (c *Controller) awaitBridge(ctx context.Context, started dfuclock.Time) error {
	timeout := listTimeout + c.jitter(listSpread)
	for {
		waited := c.deps.Clock.Now().Sub(started)
		switch {
		case waited >= timeout:
			return nil
		case waited >= contactTimeout && !c.hasZonePeer():
			return nil
		case waited >= bridgeDelay && c.bridge.Load() && c.hasZonePeer():
			return nil
		}
		if err := sleep(ctx, listPollPeriod); err != nil {
			return err
		}
	}
}

// checkListed reports whether the zone page lists this node. If it doesn't, it writes
// the page.
func (c *Controller) checkListed(ctx context.Context) (bool, error) {
	page, err := c.readPages(ctx, dfustore.ZoneKey(c.cfg.Place))
	if err != nil {
		return false, err
	}
	if slices.ContainsFunc(page, func(n pageNode) bool { return n.member() == c.Member() }) {
		return true, nil
	}
	return c.writePage(ctx, nil, nil)
}

// listsZonePeer reports whether the nodes include another one of this node's zone.
func (c *Controller) listsZonePeer(nodes []pageNode) bool {
	return slices.ContainsFunc(nodes, func(n pageNode) bool { return n.Node != c.cfg.Node && n.Place == c.cfg.Place })
}

// hasZonePeer reports whether the view has another live node of this node's zone.
func (c *Controller) hasZonePeer() bool {
	return slices.ContainsFunc(c.View().Nodes(), func(n dfuroster.Node) bool {
		return n.Member.Node != c.cfg.Node && n.Place == c.cfg.Place && isLive(n)
	})
}

// writePage updates the zone page once, by compare-and-swap, and reports whether
// the page is up to date. It adds every live member of the zone, so that one
// write serves all nodes that wait to be listed. Listed members that have been
// absent for the retention period are removed, unless absent is nil. The nodes
// that the page listed before are passed to the event loop as seeds. After a
// write whose reply was lost, the next call reads the page again and so finds
// out whether the write was applied. Nothing is written if skip, unless nil, returns
// true for the nodes listed before.
func (c *Controller) writePage(ctx context.Context, absent absentSince, skip func([]pageNode) bool) (bool, error) {
	key := dfustore.ZoneKey(c.cfg.Place)
	record, err := c.deps.Store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	c.recordStoreSuccess()
	page, invalid := decodePage(record)
	if invalid != nil {
		c.deps.Log.Warn("removing what is invalid on the zone page", zap.String("key", key), zap.Error(invalid))
	}
	c.inbox.Offer(input{event: dfuroster.SeedsListed{Seeds: seedsOf(page)}})
	if skip != nil && skip(page) {
		return false, nil
	}
	view := c.View()
	expired := absent.expire(page, view, c.deps.Clock.Now(), c.cfg.Membership.DeadRetention)
	next := mergePage(page, view, c.cfg.Place, expired)
	if invalid == nil && slices.Equal(page, next) {
		c.lastPage = page
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
	revision, err := c.deps.Store.CompareAndSwap(ctx, key, expect, value, 0)
	if err != nil {
		return false, err
	}
	c.coverWrite(revision)
	c.lastPage = next
	return true, nil
}

// absentSince holds the time since which each listed node has not been alive in
// the view. Nodes stay listed for a retention period, so that the next run of a
// node finds the incarnation of its previous run and takes a higher one, even if
// the clock was set back.
type absentSince map[dfuident.NodeID]dfuclock.Time

// expire updates the map from a page and a view, and returns the listed nodes
// that have been absent for at least the retention period.
func (a absentSince) expire(page []pageNode, view *dfuroster.View, now dfuclock.Time, retention dfuclock.Duration) map[dfuident.NodeID]bool {
	if a == nil {
		return nil
	}
	expired := make(map[dfuident.NodeID]bool)
	listed := make(map[dfuident.NodeID]bool)
	for _, p := range page {
		listed[p.Node] = true
		if n, ok := view.Node(p.Node); ok && isLive(n) {
			delete(a, p.Node)
		} else if since, ok := a[p.Node]; !ok {
			a[p.Node] = now
		} else if now.Sub(since) >= retention {
			expired[p.Node] = true
		}
	}
	maps.DeleteFunc(a, func(id dfuident.NodeID, _ dfuclock.Time) bool { return !listed[id] })
	return expired
}

func isLive(n dfuroster.Node) bool {
	return n.State != dfuroster.Dead && n.State != dfuroster.Left
}

// mergePage returns the page without the expired nodes and with all members of the
// zone in the view, each at its highest incarnation, sorted by node. Members that have
// ended are included, since their next run needs their incarnation. The page
// also lists a few members of each other zone of the region, since nodes that
// start at the same time would otherwise discover only those of their own zone.
func mergePage(page []pageNode, view *dfuroster.View, place dfuident.Place, expired map[dfuident.NodeID]bool) []pageNode {
	byNode := make(map[dfuident.NodeID]pageNode, len(page))
	for _, n := range page {
		if !expired[n.Node] {
			byNode[n.Node] = n
		}
	}
	otherZones := make(map[dfuident.Place]int)
	for _, n := range sortListedFirst(view.Nodes(), byNode) {
		previous, listed := byNode[n.Member.Node]
		if expired[n.Member.Node] || listed && previous.Incarnation > n.Member.Incarnation {
			continue
		}
		if n.Place == place {
			byNode[n.Member.Node] = newPageNode(n)
			continue
		}
		if !isLive(n) {
			continue
		}
		if n.Place.Region == place.Region && otherZones[n.Place] < maxListedPerOtherZone {
			otherZones[n.Place]++
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

// sortListedFirst moves the nodes that a page lists to the front and otherwise
// keeps the order.
func sortListedFirst(nodes []dfuroster.Node, listed map[dfuident.NodeID]pageNode) []dfuroster.Node {
	slices.SortStableFunc(nodes, func(a, b dfuroster.Node) int {
		_, aListed := listed[a.Member.Node]
		_, bListed := listed[b.Member.Node]
		switch {
		case aListed && !bListed:
			return -1
		case bListed && !aListed:
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
