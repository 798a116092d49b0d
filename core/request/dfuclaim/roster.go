package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// NodeState is the state of a node as reported by membership.
type NodeState string

// The states of a node. A node that is leaving, or whose target is draining, is
// still alive but is assigned no shards. A node that has left announced so itself
// after its machine received Stopping, and does not come back in the same
// incarnation.
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

// roster is the list of the service's nodes.
type roster struct {
	nodes []Node
}

// find returns a node with its latest known incarnation.
func (r roster) find(id dfuident.NodeID) (Node, bool) {
	for _, n := range r.nodes {
		if n.Member.Node == id {
			return n, true
		}
	}
	return Node{}, false
}

// reachable reports whether the member is alive, though it may be leaving.
func (r roster) reachable(m dfuident.Member) bool {
	n, ok := r.find(m.Node)
	return ok && n.Member == m && (n.State == NodeAlive || n.State == NodeLeaving)
}

// eligible reports whether the member may be assigned shards: it is alive and not
// leaving.
func (r roster) eligible(m dfuident.Member) bool {
	n, ok := r.find(m.Node)
	return ok && n.Member == m && n.State == NodeAlive
}

// processEnded reports whether there is evidence, not mere suspicion, that the member's
// process has ended: a later incarnation of the same node, or the member's own
// announcement that it left.
func (r roster) processEnded(m dfuident.Member) bool {
	n, ok := r.find(m.Node)
	if !ok {
		return false
	}
	return n.Member.Incarnation > m.Incarnation || (n.Member == m && n.State == NodeLeft)
}

// place returns the place of the member's node, or the zero Place if the node is
// unknown.
func (r roster) place(m dfuident.Member) dfuident.Place {
	n, _ := r.find(m.Node)
	return n.Place
}

// highestRanked returns the eligible node with the highest rank for a shard, or the
// zero Member if there is none.
func (r roster) highestRanked(service dfuident.Service, shard ShardIndex) dfuident.Member {
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

// shardOwners assigns each shard to the eligible node with the highest rank for it
// among the nodes that are below their maximum, which is the number of shards per
// node, rounded up. The assignment depends on node ids only, so that a node gets
// the same shards back after a restart.
func (r roster) shardOwners(service dfuident.Service, shards int) []dfuident.Member {
	shardOwners := make([]dfuident.Member, shards)
	eligibleNodes := 0
	for _, n := range r.nodes {
		if n.State == NodeAlive {
			eligibleNodes++
		}
	}
	if eligibleNodes == 0 {
		return shardOwners
	}
	maxPerNode := (shards + eligibleNodes - 1) / eligibleNodes
	assigned := make(map[dfuident.NodeID]int, eligibleNodes)
	for s := range shardOwners {
		var bestRank uint64
		for _, n := range r.nodes {
			if n.State != NodeAlive || assigned[n.Member.Node] >= maxPerNode {
				continue
			}
			if k := rank(service, ShardIndex(s), n.Member.Node); shardOwners[s].IsZero() || k > bestRank {
				shardOwners[s], bestRank = n.Member, k
			}
		}
		assigned[shardOwners[s].Node]++
	}
	return shardOwners
}

// copyFor returns the best eligible copy holder for a shard of the owner: a node in
// another zone of the owner's region, else in another region, else any other node.
// It is zero if there is none.
func (r roster) copyFor(service dfuident.Service, shard ShardIndex, owner dfuident.Member) dfuident.Member {
	var best Node
	ownerPlace := r.place(owner)
	for _, n := range r.nodes {
		if n.State != NodeAlive || n.Member.Node == owner.Node {
			continue
		}
		score, bestScore := placementScore(ownerPlace, n.Place), placementScore(ownerPlace, best.Place)
		switch {
		case best.Member.IsZero(), score > bestScore:
			best = n
		case score == bestScore && rank(service, shard, n.Member.Node) > rank(service, shard, best.Member.Node):
			best = n
		}
	}
	return best.Member
}

// without returns the roster without the given member.
func (r roster) without(m dfuident.Member) roster {
	var rest roster
	for _, n := range r.nodes {
		if n.Member != m {
			rest.nodes = append(rest.nodes, n)
		}
	}
	return rest
}

// placementScore rates the place of a copy holder relative to that of the owner. A
// higher score is better.
func placementScore(owner, holder dfuident.Place) int {
	switch {
	case owner == holder:
		return 0
	case owner.Region != holder.Region:
		return 1
	default:
		return 2
	}
}

// rank returns a node's rank for a shard, as in rendezvous hashing. All nodes
// compute the same ranks.
func rank(service dfuident.Service, shard ShardIndex, node dfuident.NodeID) uint64 {
	d := xxhash.NewWithSeed(uint64(shard) + 1)
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}
