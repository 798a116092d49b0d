// Package dfumembership decides which nodes live, and spreads what each node
// says about its target.
//
// It follows SWIM: in every protocol period a node probes one random member of
// its region, asks a few others to probe it if no answer comes, and suspects it
// if still none does. A suspected member that doesn't refute is declared dead.
// Updates ride on the probes and on rounds of gossip that run only while there
// is news. Each update is sent a bounded number of times; digests on the probes
// find what was lost.
//
// Regions are joined by one bridge in each availability zone. Only bridges
// probe across the link and carry updates over it. A node never suspects a
// member of another region: a bridge whose probes across all fail declares the
// region unreachable as a whole, so a cut link costs one small stream of
// probes, no deaths, and no refutations when it returns.
package dfumembership
