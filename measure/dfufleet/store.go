package dfufleet

import (
	"cmp"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
)

// watchTimeout is how long the store holds a watch open if nothing changes.
const watchTimeout = 2 * dfuclock.Second

// store holds records with their revisions. It is located in one region.
type store struct {
	region   dfuident.Region
	down     bool
	revision dfuident.Revision
	records  map[string]dfurecord.Record
	// calls counts list and watch requests. A watch that waits counts once.
	calls int
	// replica, if not nil, serves lists in place of the store.
	replica *store
	// lagging makes the replica serve watches as well.
	lagging bool
}

// watchState is the state of a node's watch of the store.
type watchState struct {
	watching bool
	after    dfuident.Revision
	// answeredAt is when a watch last returned.
	answeredAt dfuclock.Time
	// silent reports whether the store does not answer the node's watches.
	silent bool
}

func newStore() store {
	return store{records: make(map[string]dfurecord.Record)}
}

// SetStoreRegion places the store in a region. Until then, it is local to every region.
func (f *Fleet) SetStoreRegion(region dfuident.Region) {
	f.store.region = region
}

// SetStoreDown starts or ends a store outage.
func (f *Fleet) SetStoreDown(down bool) {
	f.store.down = down
}

// StoreCalls returns the number of store calls so far.
func (f *Fleet) StoreCalls() int {
	return f.store.calls
}

// Put writes a record and returns its revision.
func (f *Fleet) Put(key string, value []byte) dfuident.Revision {
	return f.store.write(dfurecord.Record{Key: key, Value: value})
}

// Delete deletes a record and returns the revision of the deletion.
func (f *Fleet) Delete(key string) dfuident.Revision {
	return f.store.write(dfurecord.Record{Key: key, Deleted: true})
}

// SplitReplica makes a replica with the current state of the store serve lists, while
// writes and watches continue at the store. A second call ends this.
func (f *Fleet) SplitReplica() {
	if f.store.replica != nil {
		f.store.replica = nil
		f.store.lagging = false
		return
	}
	replica := newStore()
	replica.revision = f.store.revision
	for key, r := range f.store.records {
		replica.records[key] = r
	}
	f.store.replica = &replica
}

// SetLagging starts or stops serving watches from the replica of SplitReplica.
func (f *Fleet) SetLagging(lagging bool) {
	f.store.lagging = lagging && f.store.replica != nil
}

// SetWatchSilent sets whether the store stops answering a node's watches.
func (f *Fleet) SetWatchSilent(id dfuident.NodeID, silent bool) {
	f.byID[id].watch.silent = silent
}

func (s *store) write(r dfurecord.Record) dfuident.Revision {
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	return r.Revision
}

func (s *store) changedSince(prefix string, after dfuident.Revision) []dfurecord.Record {
	var records []dfurecord.Record
	for _, r := range s.records {
		if strings.HasPrefix(r.Key, prefix) && r.Revision > after {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b dfurecord.Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

func prefixes() []string {
	return []string{"catalogue/", "claims/"}
}

func (f *Fleet) storeReachable(n *Node) bool {
	return !f.store.down && !f.regionCuts[[2]dfuident.Region{f.store.region, n.Place.Region}]
}

func (f *Fleet) storeDelay(n *Node) dfuclock.Duration {
	return f.delay(dfuident.Place{Region: cmp.Or(f.store.region, n.Place.Region)}, n.Place)
}

// watchStore mirrors the daemon's watch of the store. It is called on each tick.
func (f *Fleet) watchStore(n *Node) {
	w := &n.watch
	if !n.Keeper.Exchange().Watcher() || !f.storeReachable(n) {
		w.watching = false
		return
	}
	if !w.watching {
		w.watching = true
		w.after = f.store.revision
		w.answeredAt = f.now
		f.listStore(n)
		return
	}
	from := &f.store
	if from.lagging {
		from = from.replica
	}
	changed := from.revision > w.after
	if w.silent || !changed && f.now.Sub(w.answeredAt) < watchTimeout {
		return
	}
	for _, prefix := range prefixes() {
		f.store.calls++
		f.sendStoreAnswer(n, dfurecord.StoreResponse{
			Prefix: prefix, Records: from.changedSince(prefix, w.after), Revision: from.revision,
		})
	}
	w.after = max(w.after, from.revision)
	w.answeredAt = f.now
}

func (f *Fleet) listStore(n *Node) {
	for _, prefix := range prefixes() {
		f.store.calls++
		if !f.storeReachable(n) {
			continue
		}
		from := &f.store
		if f.store.replica != nil {
			from = f.store.replica
		}
		f.sendStoreAnswer(n, dfurecord.StoreResponse{
			Prefix: prefix, Listed: true, Records: from.changedSince(prefix, 0), Revision: from.revision,
		})
	}
}

func (f *Fleet) sendStoreAnswer(n *Node, a dfurecord.StoreResponse) {
	f.schedule(scheduledEvent{at: f.now.Add(2 * f.storeDelay(n)), node: n, event: dfuroster.StoreResponse{Answer: a}})
}
