package dfuoperator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
)

// shardOwners holds the shards of quotas by owner.
type shardOwners map[dfuident.NodeID][]dfuquota.Shard

// findOwners returns the owners of shards: the nodes that report to own them and, for others'
// shards, nodes that were not asked but that others report as owners.
func findOwners(nodes []nodeStatus) shardOwners {
	owners := shardOwners{}
	asked := map[dfuident.NodeID]bool{}
	for i := range nodes {
		asked[nodes[i].Node] = true
		for _, o := range nodes[i].quotaOwners() {
			if o.Owner == nodes[i].Node {
				owners[o.Owner] = slices.Clone(o.Shards)
			}
		}
	}
	for i := range nodes {
		for _, o := range nodes[i].quotaOwners() {
			for _, shard := range o.Shards {
				if !asked[o.Owner] && !owners.has(shard) {
					owners[o.Owner] = append(owners[o.Owner], shard)
				}
			}
		}
	}
	return owners
}

// has reports whether a shard has an owner.
func (o shardOwners) has(shard dfuquota.Shard) bool {
	for _, shards := range o {
		if slices.Contains(shards, shard) {
			return true
		}
	}
	return false
}

// showQuotaOwners prints the owners of shards of quotas, the shards without one, and the
// nodes that ask another node than the owner, if workspaces have quotas.
func (s *session) showQuotaOwners(nodes []nodeStatus) {
	if !slices.ContainsFunc(nodes, func(n nodeStatus) bool {
		return n.Quota != nil && n.Workspaces != nil && n.Workspaces.Limited > 0
	}) {
		return
	}
	owners := findOwners(nodes)
	for _, owner := range slices.Sorted(maps.Keys(owners)) {
		s.printf("quota shards of %s: %s", owner, joinShards(owners[owner]))
	}
	var unowned []dfuquota.Shard
	for shard := range dfuquota.Shard(dfuquota.ShardCount) {
		if !owners.has(shard) {
			unowned = append(unowned, shard)
		}
	}
	if len(unowned) > 0 {
		s.printf("quota shards whose owner no node knows: %s", joinShards(unowned))
	}
	for i := range nodes {
		for _, o := range nodes[i].quotaOwners() {
			outdated := slices.DeleteFunc(slices.Clone(o.Shards), func(shard dfuquota.Shard) bool {
				return slices.Contains(owners[o.Owner], shard)
			})
			if len(outdated) > 0 {
				s.printf("%s still sees %s as the owner of quota shards: %s", nodes[i].Node, o.Owner, joinShards(outdated))
			}
		}
	}
}

func joinShards(shards []dfuquota.Shard) string {
	texts := make([]string, len(shards))
	for i, shard := range slices.Sorted(slices.Values(shards)) {
		texts[i] = fmt.Sprint(int(shard))
	}
	return strings.Join(texts, " ")
}
