package dfustatus

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/core/version/dfuroster"
)

// Node is one element of the response to GET /dragonflyusher/nodes: a node in the
// view of the node that answers.
type Node struct {
	Node        dfuident.NodeID      `json:"node"`
	Incarnation dfuident.Incarnation `json:"incarnation"`
	Region      dfuident.Region      `json:"region"`
	Zone        dfuident.Zone        `json:"zone"`
	HTTP        dfuident.Address     `json:"http"`
	Service     dfuident.Service     `json:"service"`
	State       dfuroster.State      `json:"state"`
}

// HasEnded reports whether the node has left or is considered dead, so that no
// response is expected from it.
func (n Node) HasEnded() bool {
	return n.State == dfuroster.Left || n.State == dfuroster.Dead
}

// View holds the greatest catalogue revision that a node has received,
// and the revision of each entry in its view.
type View struct {
	Revision dfuident.Revision                      `json:"revision"`
	Entries  map[dfuident.Service]dfuident.Revision `json:"entries"`
}

// Peer is another node that is not alive, or that is alive but ejected or on
// probation. Reason describes the latter.
type Peer struct {
	Node   dfuident.NodeID `json:"node"`
	State  dfuroster.State `json:"state"`
	Reason string          `json:"reason"`
}

// Request describes a request of a caller, for the question where it would go.
type Request struct {
	Method    string         `json:"method"`
	Host      string         `json:"host"`
	URI       string         `json:"uri"`
	Headers   []Header       `json:"headers,omitempty"`
	BodyBytes dfuident.Bytes `json:"body_bytes,omitempty"`
}

// Header is a header field of a Request.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Workspaces describes the workspaces in the routes of a node. Limited is the number of
// those with a quota.
type Workspaces struct {
	Count   int `json:"count"`
	Limited int `json:"limited"`
}

// OwnedShards lists the shards of quotas of one owner.
type OwnedShards struct {
	Owner  dfuident.NodeID  `json:"owner"`
	Shards []dfuquota.Shard `json:"shards"`
}
