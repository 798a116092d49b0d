package dfuclaimer

import (
	"sync"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/version/dfuroster"
)

// tableCache holds the most recently decoded claim table of each service that has
// claims.
type tableCache struct {
	mu     sync.Mutex
	byName map[dfuident.Service]cachedTable
}

// cachedTable is a decoded table. ok is false if the table could not be decoded.
type cachedTable struct {
	revision dfuident.Revision
	table    dfuclaim.Table
	ok       bool
}

// get returns the revision and claim table of a service in a view. It reports false
// if the view has no table or the table is invalid.
func (c *tableCache) get(view *dfuroster.View, service dfuident.Service) (dfuident.Revision, dfuclaim.Table, bool) {
	claims, ok := view.Claims(service)
	if !ok {
		return 0, dfuclaim.Table{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.byName[service]
	if cached.revision != claims.Revision {
		table, err := dfuclaim.Decode(claims.Value)
		cached = cachedTable{revision: claims.Revision, table: table, ok: err == nil}
		if c.byName == nil {
			c.byName = make(map[dfuident.Service]cachedTable)
		}
		c.byName[service] = cached
	}
	return cached.revision, cached.table, cached.ok
}

// Owner returns the node that decides on claims for a key of a service: the owner of
// the key's shard, or the holder of the shard's copy while the owner is stopping or
// unreachable. It reports false if there is neither.
func (c *Claimer) Owner(view *dfuroster.View, service dfuident.Service, key dfuident.Key) (dfuident.Member, bool) {
	revision, table, ok := c.tables.get(view, service)
	if latest := c.published.Load(); latest != nil && latest.service == service && latest.revision > revision {
		table, ok = latest.table, true
	}
	if !ok {
		return dfuident.Member{}, false
	}
	e := table.Entry(key)
	for _, m := range []dfuident.Member{e.Owner, e.Copy} {
		if n, found := view.Node(m.Node); found && n.Member == m && acceptsRequests(n.State) {
			return m, true
		}
	}
	return dfuident.Member{}, false
}

// acceptsRequests reports whether a node in this state accepts requests.
func acceptsRequests(s dfuroster.State) bool {
	return s == dfuroster.Alive || s == dfuroster.Suspect
}
