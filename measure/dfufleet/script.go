package dfufleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"

	"github.com/cockroachdb/errors"
)

// script runs a golden session and writes its transcript.
type script struct {
	fleet    *Fleet
	out      strings.Builder
	observed map[dfuident.NodeID]bool
}

// RunScript runs a session with one command per line and returns the transcript: each
// command after "> ", its output, and the changes in the views of observed nodes. The
// table commands describes the commands.
func RunScript(cfg Config, text string) (string, error) {
	s := &script{fleet: New(cfg), observed: make(map[dfuident.NodeID]bool)}
	s.fleet.OnPublish = s.printChanges
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", strings.Join(fields, " "))
		c, ok := commands[fields[0]]
		if !ok || len(fields)-1 < c.args {
			return "", errors.Newf("line %d: unknown command or missing arguments: %q", i+1, line)
		}
		if err := c.run(s, fields[1:]); err != nil {
			return "", errors.Wrapf(err, "line %d", i+1)
		}
	}
	return s.out.String(), nil
}

type command struct {
	args int
	run  func(s *script, args []string) error
}

// commands lists the commands of a session.
var commands = map[string]command{
	// add PLACE SERVICE NODE...: start nodes.
	"add": {3, func(s *script, args []string) error {
		for _, id := range args[2:] {
			s.fleet.Add(dfuident.NodeID(id), parsePlace(args[0]), dfumembership.Target{Service: dfuident.Service(args[1]), Slots: 12})
		}
		return nil
	}},
	// restart NODE...: start a new incarnation of nodes.
	"restart": {1, eachNode(func(s *script, n *Node) {
		target := n.Keeper.Membership().Self().Details.Target
		s.fleet.Add(n.Member.Node, n.Place, target)
	})},
	// observe NODE...: print the changes in the views of nodes from now on.
	"observe": {1, func(s *script, args []string) error {
		for _, id := range args {
			s.observed[dfuident.NodeID(id)] = true
		}
		return nil
	}},
	"freeze": {1, eachNode(func(s *script, n *Node) { s.fleet.Pause(n.Member.Node) })},
	"wake":   {1, eachNode(func(s *script, n *Node) { s.fleet.Resume(n.Member.Node) })},
	"kill":   {1, eachNode(func(s *script, n *Node) { s.fleet.Kill(n.Member.Node) })},
	"drain": {1, eachNode(func(s *script, n *Node) {
		target := n.Keeper.Membership().Self().Details.Target
		target.Draining = true
		s.fleet.Announce(n.Member.Node, dfuroster.Announced{Target: target})
	})},
	"leave": {1, eachNode(func(s *script, n *Node) { s.fleet.Announce(n.Member.Node, dfuroster.Announced{Left: true}) })},
	// show NODE...: print the views of nodes.
	"show": {1, eachNode((*script).show)},
	// records NODE...: print the records of nodes.
	"records": {1, eachNode((*script).records)},
	// cut and heal REGION REGION: break or restore the link between two regions.
	"cut":  {2, func(s *script, args []string) error { s.setLinkDown(args, true); return nil }},
	"heal": {2, func(s *script, args []string) error { s.setLinkDown(args, false); return nil }},
	// path NODE NODE cut|heal: break or restore the path between two nodes.
	"path": {3, (*script).setPath},
	// store down|up|split|lag, store region REGION, or store silent NODE.
	"store":  {1, (*script).setStore},
	"put":    {2, func(s *script, args []string) error { return s.put(args[0], strings.Join(args[1:], " ")) }},
	"delete": {1, func(s *script, args []string) error { s.printf("revision %d", s.fleet.Delete(args[0])); return nil }},
	// tell NODE SUBJECT suspect|dead|earlier: deliver a message to NODE that
	// reports SUBJECT as suspect or dead, or that comes from an earlier
	// incarnation of SUBJECT.
	"tell": {3, (*script).injectUpdate},
	// run DURATION: advance the virtual clock.
	"run": {1, (*script).runFor},
}

func eachNode(run func(s *script, n *Node)) func(s *script, args []string) error {
	return func(s *script, args []string) error {
		for _, id := range args {
			n := s.fleet.Node(dfuident.NodeID(id))
			if n == nil {
				return errors.Newf("no node %s", id)
			}
			run(s, n)
		}
		return nil
	}
}

func (s *script) setLinkDown(args []string, down bool) {
	s.fleet.SetLinkDown(dfuident.Region(args[0]), dfuident.Region(args[1]), down)
}

func (s *script) setPath(args []string) error {
	a, b := dfuident.NodeID(args[0]), dfuident.NodeID(args[1])
	s.fleet.SetPathDown(a, b, args[2] == "cut")
	return nil
}

func (s *script) setStore(args []string) error {
	switch args[0] {
	case "down", "up":
		s.fleet.SetStoreDown(args[0] == "down")
	case "split":
		s.fleet.ToggleStaleReplica()
	case "lag":
		s.fleet.SetReplicaServesWatches(true)
	case "silent":
		s.fleet.SetStoreUnanswered(dfuident.NodeID(args[1]), true)
	case "region":
		s.fleet.SetStoreRegion(dfuident.Region(args[1]))
	default:
		return errors.Newf("store %s", args[0])
	}
	return nil
}

// put writes a record. The value "entry" is replaced by a valid catalogue entry.
func (s *script) put(key, value string) error {
	if service, ok := strings.CutPrefix(key, "catalogue/"); ok && value == "entry" {
		value = `{"change_id":"c` + strconv.Itoa(int(s.fleet.store.revision)) + `","entry":{"service":"` + service + `","owner":"stock"}}`
	}
	s.printf("revision %d", s.fleet.Put(key, []byte(value)))
	return nil
}

func (s *script) injectUpdate(args []string) error {
	to, subject := s.fleet.Node(dfuident.NodeID(args[0])), s.fleet.Node(dfuident.NodeID(args[1]))
	if to == nil || subject == nil {
		return errors.Newf("no such node: %s or %s", args[0], args[1])
	}
	u := subject.Keeper.Membership().Self()
	switch args[2] {
	case "suspect":
		u.State, u.Details = dfumembership.Suspect, nil
	case "dead":
		u.State, u.Details = dfumembership.Dead, nil
	case "earlier":
		u.Member.Incarnation--
		u.Version += 100
	default:
		return errors.Newf("tell: unknown state %q", args[2])
	}
	from := dfumembership.Contact{Member: u.Member, Region: subject.Place.Region, Address: subject.address}
	s.fleet.step(to, dfuroster.Received{Packet: dfuroster.Packet{
		Membership: &dfumembership.Message{Kind: dfumembership.Gossip, From: from, Updates: []dfumembership.Update{u}},
	}})
	s.printf("stale updates at %s: %d", args[0], to.Keeper.Membership().Counts().Stale)
	return nil
}

func (s *script) runFor(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return errors.Wrap(err, "run")
	}
	s.fleet.Run(dfuclock.FromStd(d))
	return nil
}

// printChanges prints the differences between two views of an observed node.
func (s *script) printChanges(n *Node, old, view *dfuroster.View) {
	if !s.observed[n.Member.Node] {
		return
	}
	for _, after := range view.Nodes() {
		before, known := old.Node(after.Member.Node)
		if !known || before.Member != after.Member || before.State != after.State {
			s.printf("%6d %s: %s %s", s.fleet.now, n.Member.Node, after.Member, after.State)
		}
	}
	for _, service := range view.Services() {
		_, before, _ := old.Entry(service)
		if _, after, _ := view.Entry(service); after != before {
			s.printf("%6d %s: entry %s revision %d", s.fleet.now, n.Member.Node, service, after)
		}
	}
	for _, service := range old.Services() {
		if _, _, ok := view.Entry(service); !ok {
			s.printf("%6d %s: entry %s deleted", s.fleet.now, n.Member.Node, service)
		}
	}
}

func (s *script) show(n *Node) {
	for _, seen := range n.Keeper.View().Nodes() {
		s.printf("%s: %s %s %s %s", n.Member.Node, seen.Member, seen.Place, seen.Service, seen.State)
	}
}

func (s *script) records(n *Node) {
	exchange := n.Keeper.Exchange()
	standing := exchange.Standing(s.fleet.now)
	s.printf("%s: watcher %t, confirmed %t, age at most %ds", n.Member.Node, exchange.Watcher(), standing.Confirmed, standing.Age/dfuclock.Second+1)
	for _, summary := range exchange.Set().Summaries(nil) {
		_, live := exchange.Set().Get(summary.Key)
		s.printf("%s: %s noted %d in force %d live %t", n.Member.Node, summary.Key, summary.Noted, summary.InForce, live)
	}
}

func (s *script) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, format+"\n", args...)
}

func parsePlace(text string) dfuident.Place {
	region, zone, _ := strings.Cut(text, "/")
	return dfuident.Place{Region: dfuident.Region(region), Zone: dfuident.Zone(zone)}
}
