package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// NodeState is what membership says of a node.
type NodeState string

// The states of a node. A node that is leaving, or whose target drains, is still
// alive but is given no shards. One that left has stated so for good after its
// machine was told of Leaving.
const (
	NodeAlive   NodeState = "alive"
	NodeLeaving NodeState = "leaving"
	NodeDead    NodeState = "dead"
	NodeLeft    NodeState = "left"
)

// Node is one node of the service.
type Node struct {
	Member dfuident.Member
	Place  dfuident.Place
	State  NodeState
}

// roster answers questions about the service's nodes.
type roster struct {
	nodes []Node
}

// find returns the latest known run of a node.
func (r roster) find(id dfuident.NodeID) (Node, bool) {
	for _, n := range r.nodes {
		if n.Member.Node == id {
			return n, true
		}
	}
	return Node{}, false
}

// serves reports whether the run can be spoken to, though it may be leaving.
func (r roster) serves(m dfuident.Member) bool {
	n, ok := r.find(m.Node)
	return ok && n.Member == m && (n.State == NodeAlive || n.State == NodeLeaving)
}

// stays reports whether the run is alive and not leaving.
func (r roster) stays(m dfuident.Member) bool {
	n, ok := r.find(m.Node)
	return ok && n.Member == m && n.State == NodeAlive
}

// ended reports whether there is evidence, not mere suspicion, that the run is
// over: a later run of the same node, or the run's own statement that it left.
func (r roster) ended(m dfuident.Member) bool {
	n, ok := r.find(m.Node)
	if !ok {
		return false
	}
	return n.Member.Incarnation > m.Incarnation || (n.Member == m && n.State == NodeLeft)
}

// place returns where a run is, the zero Place if it is not known.
func (r roster) place(m dfuident.Member) dfuident.Place {
	n, _ := r.find(m.Node)
	return n.Place
}

// first returns the staying node that ranks highest for a shard.
func (r roster) first(service dfuident.Service, shard ShardIndex) dfuident.Member {
	var best dfuident.Member
	var bestRank uint64
	for _, n := range r.nodes {
		if n.State != NodeAlive {
			continue
		}
		if k := rank(service, shard, n.Member.Node); best.IsZero() || k > bestRank {
			best, bestRank = n.Member, k
		}
	}
	return best
}

// owners assigns each shard to the staying node that ranks highest for it among
// those with room, so that no node has more than its share. The result depends
// on node ids alone: a node that restarts gets the same shards back.
func (r roster) owners(service dfuident.Service, shards int) []dfuident.Member {
	owners := make([]dfuident.Member, shards)
	staying := 0
	for _, n := range r.nodes {
		if n.State == NodeAlive {
			staying++
		}
	}
	if staying == 0 {
		return owners
	}
	share := (shards + staying - 1) / staying
	load := make(map[dfuident.NodeID]int, staying)
	for s := range owners {
		var bestRank uint64
		for _, n := range r.nodes {
			if n.State != NodeAlive || load[n.Member.Node] >= share {
				continue
			}
			if k := rank(service, ShardIndex(s), n.Member.Node); owners[s].IsZero() || k > bestRank {
				owners[s], bestRank = n.Member, k
			}
		}
		load[owners[s].Node]++
	}
	return owners
}

// copyFor returns the best staying node to copy a shard of the owner: one in
// another zone of the owner's region, else in another zone, else any other. It
// is zero if there is none.
func (r roster) copyFor(service dfuident.Service, shard ShardIndex, owner dfuident.Member) dfuident.Member {
	var best Node
	home := r.place(owner)
	for _, n := range r.nodes {
		if n.State != NodeAlive || n.Member.Node == owner.Node {
			continue
		}
		a, b := separation(home, n.Place), separation(home, best.Place)
		switch {
		case best.Member.IsZero(), a > b:
			best = n
		case a == b && rank(service, shard, n.Member.Node) > rank(service, shard, best.Member.Node):
			best = n
		}
	}
	return best.Member
}

// without returns the roster less one run.
func (r roster) without(m dfuident.Member) roster {
	var rest roster
	for _, n := range r.nodes {
		if n.Member != m {
			rest.nodes = append(rest.nodes, n)
		}
	}
	return rest
}

// separation grades a copy holder's place; a greater grade is better.
func separation(owner, holder dfuident.Place) int {
	switch {
	case owner == holder:
		return 0
	case owner.Region != holder.Region:
		return 1
	default:
		return 2
	}
}

// rank orders nodes for a shard in a way that all nodes agree on.
func rank(service dfuident.Service, shard ShardIndex, node dfuident.NodeID) uint64 {
	d := xxhash.NewWithSeed(uint64(shard) + 1)
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}
