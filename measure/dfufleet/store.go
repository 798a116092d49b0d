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

// watchWait is how long a watch waits in the store for a change.
const watchWait = 2 * dfuclock.Second

// store keeps records with their revisions. It is in one region.
type store struct {
	region   dfuident.Region
	down     bool
	revision dfuident.Revision
	records  map[string]dfurecord.Record
	// calls counts lists and watches, a waiting watch as one.
	calls int
	// replica, if not nil, answers lists in place of the store.
	replica *store
	// lagging makes the replica answer watches as well.
	lagging bool
}

// watchState is what a node has seen of the store.
type watchState struct {
	watching bool
	after    dfuident.Revision
	// answeredAt is when a watch last came back.
	answeredAt dfuclock.Time
	// silent says that its watches go unanswered.
	silent bool
}

func newStore() store {
	return store{records: make(map[string]dfurecord.Record)}
}

// SetStoreRegion says where the store is; everywhere until then.
func (f *Fleet) SetStoreRegion(region dfuident.Region) {
	f.store.region = region
}

// SetStoreDown starts or ends an outage of the store.
func (f *Fleet) SetStoreDown(down bool) {
	f.store.down = down
}

// StoreCalls returns the number of calls to the store so far.
func (f *Fleet) StoreCalls() int {
	return f.store.calls
}

// Put writes a record and returns its revision.
func (f *Fleet) Put(key string, value []byte) dfuident.Revision {
	return f.store.write(dfurecord.Record{Key: key, Value: value})
}

// Delete deletes a record and returns the revision of the delete.
func (f *Fleet) Delete(key string) dfuident.Revision {
	return f.store.write(dfurecord.Record{Key: key, Deleted: true})
}

// SplitReplica makes lists be answered from the store's present state, while
// writes and watches go on. A second call ends that.
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

// SetLagging makes the split replica answer watches too, or ends that.
func (f *Fleet) SetLagging(lagging bool) {
	f.store.lagging = lagging && f.store.replica != nil
}

// SetWatchSilent makes a node's watches go unanswered, or ends that.
func (f *Fleet) SetWatchSilent(id dfuident.NodeID, silent bool) {
	f.byID[id].watch.silent = silent
}

func (s *store) write(r dfurecord.Record) dfuident.Revision {
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	return r.Revision
}

func (s *store) since(prefix string, after dfuident.Revision) []dfurecord.Record {
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
	return !f.store.down && !f.cuts[[2]dfuident.Region{f.store.region, n.Place.Region}]
}

func (f *Fleet) storeDelay(n *Node) dfuclock.Duration {
	return f.delay(dfuident.Place{Region: cmp.Or(f.store.region, n.Place.Region)}, n.Place)
}

// watchStore does at each tick what the daemon's watch duty does.
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
		f.list(n)
		return
	}
	from := &f.store
	if from.lagging {
		from = from.replica
	}
	changed := from.revision > w.after
	if w.silent || !changed && f.now.Sub(w.answeredAt) < watchWait {
		return
	}
	for _, prefix := range prefixes() {
		f.store.calls++
		f.answer(n, dfurecord.StoreAnswered{
			Prefix: prefix, Records: from.since(prefix, w.after), Revision: from.revision,
		})
	}
	w.after = max(w.after, from.revision)
	w.answeredAt = f.now
}

func (f *Fleet) list(n *Node) {
	for _, prefix := range prefixes() {
		f.store.calls++
		if !f.storeReachable(n) {
			continue
		}
		from := &f.store
		if f.store.replica != nil {
			from = f.store.replica
		}
		f.answer(n, dfurecord.StoreAnswered{
			Prefix: prefix, Listed: true, Records: from.since(prefix, 0), Revision: from.revision,
		})
	}
}

func (f *Fleet) answer(n *Node, a dfurecord.StoreAnswered) {
	f.push(arrival{at: f.now.Add(2 * f.storeDelay(n)), node: n, event: dfuroster.StoreAnswered{Answer: a}})
}
