package dfustatus

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"
)

// Node is one line of GET /dragonflyusher/nodes: what a node knows of another.
type Node struct {
	Node        dfuident.NodeID      `json:"node"`
	Incarnation dfuident.Incarnation `json:"incarnation"`
	Region      dfuident.Region      `json:"region"`
	Zone        dfuident.Zone        `json:"zone"`
	HTTP        dfuident.Address     `json:"http"`
	Service     dfuident.Service     `json:"service"`
	State       dfuroster.State      `json:"state"`
}

// Gone reports whether the node has ended, as far as is known, so that no
// answer is expected from it.
func (n Node) Gone() bool {
	return n.State == dfuroster.Left || n.State == dfuroster.Dead
}

// View says how current a node's view of the catalogue is.
type View struct {
	Revision dfuident.Revision                      `json:"revision"`
	Entries  map[dfuident.Service]dfuident.Revision `json:"entries"`
}

// Peer is another node that is not simply alive, or that is avoided for a
// reason.
type Peer struct {
	Node   dfuident.NodeID `json:"node"`
	State  dfuroster.State `json:"state"`
	Reason string          `json:"reason"`
}
