package dfuclaimer

import (
	"sync"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/version/dfuroster"
)

// tableCache holds each service's table as it was last decoded. It has one
// entry for each service that has claims.
type tableCache struct {
	mu     sync.Mutex
	byName map[dfuident.Service]cachedTable
}

// cachedTable is a decoded table; ok is false if it could not be decoded.
type cachedTable struct {
	revision dfuident.Revision
	table    dfuclaim.Table
	ok       bool
}

// get returns a service's table as the view has it.
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

// Owner returns the node that decides on a key of a service: the shard's owner,
// or its copy holder while the owner stops or can't be spoken to. It reports
// false if there is none.
func (d *Duty) Owner(view *dfuroster.View, service dfuident.Service, key dfuident.Key) (dfuident.Member, bool) {
	revision, table, ok := d.tables.get(view, service)
	if own := d.owned.Load(); own != nil && own.service == service && own.revision > revision {
		table, ok = own.table, true
	}
	if !ok {
		return dfuident.Member{}, false
	}
	e := table.Entry(key)
	for _, m := range []dfuident.Member{e.Owner, e.Copy} {
		if n, known := view.Node(m.Node); known && n.Member == m && takes(n.State) {
			return m, true
		}
	}
	return dfuident.Member{}, false
}

// takes reports whether a node in a state takes requests.
func takes(s dfuroster.State) bool {
	return s == dfuroster.Alive || s == dfuroster.Suspect
}
