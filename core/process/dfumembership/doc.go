// Package dfumembership detects failed nodes and disseminates the state of each
// node and its target.
//
// It implements the SWIM protocol. In every protocol period a node probes one
// random member of its region. If the member doesn't answer, the node asks a
// few others to probe it, and suspects it if they get no answer either. A
// suspected member that doesn't refute the suspicion is declared dead. Updates
// are piggybacked on probes and sent in gossip rounds, which run only while
// there are updates to send. Each update is sent a limited number of times;
// digests on the probes detect lost updates.
//
// Regions are connected by one bridge in each availability zone. Only bridges
// probe other regions and send updates to them. A node never suspects a member
// of another region. Instead, a bridge whose cross-region probes all fail
// declares the whole region unreachable. A failed link therefore costs only a
// few probes: no members are declared dead, and none have to refute that when
// the link recovers.
//
// Zone pages, the lists of each zone's members in the store, provide the
// members to contact first.
package dfumembership
