package request_test

import (
	"flag"
	"slices"
	"testing"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"

	"pgregory.net/rapid"
)

// message is on its way to a run of a node, or to its target's link.
type message struct {
	to      dfuident.Member
	attempt dfuattempt.Event
	gate    dfugate.Event
}

// node is a gate with its target.
type node struct {
	self   dfuident.Member
	gate   *dfugate.Machine
	frozen bool
	// handed holds what the target has been given and not reported on.
	handed []dfuident.RequestID
}

// busy reports whether requests wait or run at the node.
func (n *node) busy() bool {
	load := n.gate.Load()
	return load.InFlight+load.Queued > 0
}

// network drives one entry node and several gates over links that reorder,
// drop and duplicate, and logs every run of a request.
type network struct {
	t       *rapid.T
	now     dfuclock.Time
	entry   dfuident.Member
	machine *dfuattempt.Machine
	nodes   []*node
	bag     []message

	arrived  map[dfuattempt.RequestNumber]dfuattempt.Arrived
	finished map[dfuattempt.RequestNumber]dfuattempt.Finish
	lost     map[dfuattempt.RequestNumber]bool
	sent     map[dfuident.RequestID]dfuattempt.Send
	// unsent holds attempts whose offer was never delivered nor dropped. An offer
	// that went ahead without its body doesn't count.
	unsent map[dfuident.RequestID]bool
	// whole holds the offers that went ahead without their bodies.
	whole   map[dfuident.RequestID]message
	effects map[dfuattempt.RequestNumber]int
	ran     map[dfuident.RequestID]int
	answers map[answerKey]int
	// open counts the attempts whose end the chooser has not been told.
	open int
}

func init() {
	// The defaults of rapid are too few to meet rare interleavings; the
	// command line still goes first.
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// answerKey names an id at one run of a gate, which answers it at most once.
type answerKey struct {
	gate dfuident.Member
	id   dfuident.RequestID
}

const networkService dfuident.Service = "lager"

func newNetwork(t *rapid.T) *network {
	n := &network{
		t:        t,
		entry:    dfuident.Member{Node: "entry", Incarnation: 1},
		arrived:  make(map[dfuattempt.RequestNumber]dfuattempt.Arrived),
		finished: make(map[dfuattempt.RequestNumber]dfuattempt.Finish),
		lost:     make(map[dfuattempt.RequestNumber]bool),
		sent:     make(map[dfuident.RequestID]dfuattempt.Send),
		unsent:   make(map[dfuident.RequestID]bool),
		whole:    make(map[dfuident.RequestID]message),
		effects:  make(map[dfuattempt.RequestNumber]int),
		ran:      make(map[dfuident.RequestID]int),
		answers:  make(map[answerKey]int),
	}
	n.openEntry()
	for _, name := range []string{"g1", "g2", "g3"} {
		node := &node{self: member(name)}
		n.nodes = append(n.nodes, node)
		n.openGate(node)
	}
	return n
}

func (n *network) openEntry() {
	n.open = 0
	n.machine = dfuattempt.New(dfuattempt.DefaultConfig(), n.entry, dfuident.Place{}, n, n)
}

func (n *network) openGate(node *node) {
	cfg := dfugate.DefaultConfig()
	cfg.VerdictsMax = rapid.SampledFrom([]int{3, 1000}).Draw(n.t, "verdicts")
	cfg.Limits.Queue = 2
	cfg.LinkRate = 1
	node.gate = dfugate.New(cfg, node.self)
	n.stepGate(node, dfugate.TargetAnnounced{Service: networkService, Slots: 1})
}

// Choose takes any node, also one that was excluded.
func (n *network) Choose(dfuclock.Time, dfuchoice.Query) (dfuchoice.Choice, bool) {
	return dfuchoice.Choice{Member: n.anyNode(n.t).self}, true
}

func (n *network) HedgeAfter(dfuchoice.Query) (dfuclock.Duration, bool)        { return 10, true }
func (n *network) Sent(dfuclock.Time, dfuident.Member)                         { n.open++ }
func (n *network) Done(dfuclock.Time, dfuchoice.Feedback)                      { n.open-- }
func (n *network) Earn(dfuclock.Time, dfuident.Service, dfuident.Caller, bool) {}
func (n *network) Take(dfuclock.Time, dfuident.Service, dfuident.Caller) (affordable bool) {
	return true
}

func (n *network) post(m message) {
	n.bag = append(n.bag, m)
}

func (n *network) stepEntry(event dfuattempt.Event) {
	for _, action := range slices.Clone(n.machine.Step(n.now, event)) {
		switch a := action.(type) {
		case dfuattempt.Send:
			n.sent[a.ID] = a
			n.unsent[a.ID] = true
			n.offer(a, n.arrived[a.Request])
		case dfuattempt.SendCancel:
			n.post(message{to: a.To, gate: dfugate.Cancel{ID: a.ID, Reason: dfuoutcome.ReasonCanceled}})
		case dfuattempt.SendSeal:
			n.post(message{to: a.To, gate: dfugate.Seal{ID: a.ID, To: a.To}})
		case dfuattempt.Finish:
			n.finish(a)
		case dfuattempt.Log:
		}
	}
}

// offer sends an attempt to its gate, without the body if that is large.
func (n *network) offer(a dfuattempt.Send, r dfuattempt.Arrived) {
	offer := dfugate.Offer{
		ID: a.ID, To: a.To, Service: networkService, Key: r.Key, Remaining: a.Remaining,
		Idempotent: r.Idempotent, NoClaim: r.Body > 0, Settled: a.Settled,
	}
	if r.Body > 0 {
		n.whole[a.ID] = message{to: a.To, gate: offer}
		offer.BodyLater, offer.Bytes = true, r.Body
	}
	n.post(message{to: a.To, gate: offer})
}

// noteOffer notes that an offer left its link for good, which may run now.
func (n *network) noteOffer(m message) {
	if offer, ok := m.gate.(dfugate.Offer); ok && !offer.BodyLater {
		delete(n.unsent, offer.ID)
	}
}

func (n *network) finish(a dfuattempt.Finish) {
	if _, twice := n.finished[a.Request]; twice {
		n.t.Fatalf("request %d is finished twice", a.Request)
	}
	n.finished[a.Request] = a
	if a.Outcome == dfuoutcome.Answered && (n.ran[a.ID] == 0 || n.sent[a.ID].Request != a.Request) {
		n.t.Fatalf("request %d is answered by %v, which did not run for it", a.Request, a.ID)
	}
}

func (n *network) stepGate(node *node, event dfugate.Event) {
	for _, action := range slices.Clone(node.gate.Step(n.now, event)) {
		switch a := action.(type) {
		case dfugate.RunOnTarget:
			node.handed = append(node.handed, a.ID)
			if a.Remaining <= 0 {
				n.t.Fatalf("%v is handed over after its deadline", a.ID)
			}
		case dfugate.AskBody:
			if n.unsent[a.ID] {
				n.post(n.whole[a.ID])
			}
		case dfugate.AskClaim:
			n.post(message{to: node.self, gate: dfugate.ClaimGranted{ID: a.ID}})
		case dfugate.Refuse:
			n.answer(node, a.ID, dfuattempt.Replied{ID: a.ID, Outcome: a.Outcome, Reason: a.Reason})
		case dfugate.Complete:
			n.answer(node, a.ID, dfuattempt.Replied{ID: a.ID, Outcome: a.Outcome, Reason: a.Reason})
		case dfugate.SealAnswer:
			n.post(message{to: n.entry, attempt: dfuattempt.SealReplied{
				ID: a.ID, State: a.State, Outcome: a.Outcome, Reason: a.Reason,
				Answer: a.Outcome == dfuoutcome.Answered,
			}})
		default:
		}
	}
}

func (n *network) answer(node *node, id dfuident.RequestID, reply dfuattempt.Replied) {
	key := answerKey{gate: node.self, id: id}
	n.answers[key]++
	// A gate that has forgotten an id refuses each of its offers as unknown.
	if n.answers[key] > 1 && reply.Reason != dfuoutcome.ReasonStaleRequest {
		n.t.Fatalf("%v is answered twice by %v", id, node.self)
	}
	n.post(message{to: n.entry, attempt: reply})
}

// deliver hands a message over. A run of a node that is over gets nothing; an
// offer to a former run reaches the present one.
func (n *network) deliver(m message) {
	if m.attempt != nil {
		if m.to == n.entry {
			n.stepEntry(m.attempt)
		}
		return
	}
	for _, node := range n.nodes {
		if node.self.Node != m.to.Node {
			continue
		}
		if _, granted := m.gate.(dfugate.ClaimGranted); granted && node.self != m.to {
			return
		}
		n.noteOffer(m)
		n.stepGate(node, m.gate)
	}
}

func (n *network) frozen(m message) bool {
	return slices.ContainsFunc(n.nodes, func(node *node) bool {
		return m.gate != nil && node.self.Node == m.to.Node && node.frozen
	})
}

// take removes a message that may be delivered now.
func (n *network) take(t *rapid.T) (message, bool) {
	var ready []int
	for i, m := range n.bag {
		if !n.frozen(m) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return message{}, false
	}
	i := rapid.SampledFrom(ready).Draw(t, "message")
	m := n.bag[i]
	n.bag = slices.Delete(n.bag, i, i+1)
	return m, true
}

func (n *network) actions() map[string]func(*rapid.T) {
	deliver := func(t *rapid.T) {
		if m, ok := n.take(t); ok {
			n.deliver(m)
		}
	}
	return map[string]func(*rapid.T){
		"arrive":    n.arrive,
		"deliver":   deliver,
		"deliver2":  deliver,
		"deliver3":  deliver,
		"drop":      n.drop,
		"duplicate": func(t *rapid.T) { n.duplicate(t) },
		"lose link": func(t *rapid.T) {
			n.onAttempt(t, func(id dfuident.RequestID) { n.stepEntry(dfuattempt.LinkLost{ID: id}) })
		},
		"fail seal": func(t *rapid.T) {
			n.onAttempt(t, func(id dfuident.RequestID) { n.stepEntry(dfuattempt.SealFailed{ID: id}) })
		},
		"not sent":    func(t *rapid.T) { n.onAttempt(t, n.notSent) },
		"target":      n.target,
		"target2":     n.target,
		"pass time":   n.passTime,
		"freeze":      func(t *rapid.T) { node := n.anyNode(t); node.frozen = !node.frozen },
		"kill gate":   n.killGate,
		"kill entry":  n.killEntry,
		"crash":       n.crash,
		"caller gone": func(t *rapid.T) { n.stepEntry(dfuattempt.CallerGone{Request: n.anyRequest(t)}) },
		"drain":       func(t *rapid.T) { n.stepGate(n.anyNode(t), dfugate.DrainRequested{}) },
		"undrain":     func(t *rapid.T) { n.stepGate(n.anyNode(t), dfugate.DrainCanceled{}) },
		"":            func(*rapid.T) { n.check() },
	}
}

func (n *network) anyNode(t *rapid.T) *node {
	return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
}

func (n *network) anyRequest(t *rapid.T) dfuattempt.RequestNumber {
	return dfuattempt.RequestNumber(rapid.IntRange(0, len(n.arrived)).Draw(t, "request"))
}

func (n *network) arrive(t *rapid.T) {
	e := dfuattempt.Arrived{
		Request:    dfuattempt.RequestNumber(len(n.arrived) + 1),
		Service:    networkService,
		Key:        dfuident.Key(rapid.SampledFrom([]string{"", "k"}).Draw(t, "key")),
		Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") == 0,
		Remaining:  dfuclock.Duration(rapid.IntRange(1, 200).Draw(t, "remaining")),
		Allowance:  3,
		Hedge:      rapid.Bool().Draw(t, "hedge"),
		Body:       rapid.SampledFrom([]dfuident.Bytes{0, 0, 60}).Draw(t, "body"),
	}
	n.arrived[e.Request] = e
	n.stepEntry(e)
}

func (n *network) drop(t *rapid.T) {
	if m, ok := n.take(t); ok {
		n.noteOffer(m)
	}
}

func (n *network) duplicate(t *rapid.T) {
	if m, ok := n.take(t); ok {
		n.noteOffer(m)
		n.bag = append(n.bag, m, m)
	}
}

func (n *network) onAttempt(t *rapid.T, do func(dfuident.RequestID)) {
	if len(n.sent) > 0 {
		sequence := uint64(rapid.IntRange(1, len(n.sent)).Draw(t, "attempt"))
		do(dfuident.RequestID{Entry: n.entry, Sequence: sequence})
	}
}

// notSent takes an offer off its link, of which no byte has left.
func (n *network) notSent(id dfuident.RequestID) {
	if !n.unsent[id] {
		return
	}
	n.bag = slices.DeleteFunc(n.bag, func(m message) bool {
		offer, ok := m.gate.(dfugate.Offer)
		return ok && offer.ID == id
	})
	delete(n.unsent, id)
	n.stepEntry(dfuattempt.NotSent{ID: id})
}

// target lets a target take what it was handed and report on it.
func (n *network) target(t *rapid.T) {
	node := n.anyNode(t)
	if node.frozen || len(node.handed) == 0 {
		return
	}
	id := node.handed[0]
	node.handed = node.handed[1:]
	switch rapid.SampledFrom([]string{"done", "done", "refused", "broken"}).Draw(t, "report") {
	case "refused":
		n.stepGate(node, dfugate.TargetFailed{ID: id, Refused: true})
	case "broken":
		n.run(id)
		n.stepGate(node, dfugate.TargetFailed{ID: id})
	default:
		n.run(id)
		n.stepGate(node, dfugate.TargetDone{ID: id})
	}
}

func (n *network) run(id dfuident.RequestID) {
	n.ran[id]++
	n.effects[n.sent[id].Request]++
}

func (n *network) passTime(t *rapid.T) {
	n.now = n.now.Add(dfuclock.Duration(rapid.IntRange(1, 40).Draw(t, "ms")))
	// Half the time the machines see other events before the tick.
	if rapid.Bool().Draw(t, "tick") {
		n.tick()
	}
}

func (n *network) tick() {
	n.stepEntry(dfuattempt.Tick{})
	for _, node := range n.nodes {
		if !node.frozen {
			n.stepGate(node, dfugate.Tick{})
		}
	}
}

// killGate starts a node anew. Its target goes on with what it was handed.
func (n *network) killGate(t *rapid.T) {
	node := n.anyNode(t)
	for _, id := range node.handed {
		n.run(id)
	}
	node.handed = nil
	node.self.Incarnation++
	node.frozen = false
	n.openGate(node)
}

func (n *network) killEntry(*rapid.T) {
	for number := range n.arrived {
		if _, ok := n.finished[number]; !ok {
			n.lost[number] = true
		}
	}
	n.entry.Incarnation++
	n.openEntry()
}

// crash takes the target down in the middle of what it runs.
func (n *network) crash(t *rapid.T) {
	node := n.anyNode(t)
	if node.frozen {
		return
	}
	for _, id := range node.handed {
		n.run(id)
	}
	node.handed = nil
	n.stepGate(node, dfugate.TargetCrashed{})
	n.stepGate(node, dfugate.TargetAnnounced{Service: networkService, Slots: 1})
}

// check compares what callers were told with what the targets ran.
func (n *network) check() {
	for number, e := range n.arrived {
		if !e.Idempotent && n.effects[number] > 1 {
			n.t.Fatalf("request %d ran %d times", number, n.effects[number])
		}
		f, ok := n.finished[number]
		if ok && f.Outcome == dfuoutcome.NotRun && n.effects[number] > 0 {
			n.t.Fatalf("request %d was reported not_run (%s) and ran", number, f.Reason)
		}
	}
}

// settle delivers what is left, lets the targets finish and all deadlines pass.
func (n *network) settle() {
	for _, node := range n.nodes {
		node.frozen = false
	}
	for range 1000 {
		bag := n.bag
		n.bag = nil
		for _, m := range bag {
			n.deliver(m)
		}
		for _, node := range n.nodes {
			handed := node.handed
			node.handed = nil
			for _, id := range handed {
				n.run(id)
				n.stepGate(node, dfugate.TargetDone{ID: id})
			}
		}
		if len(bag) == 0 && n.machine.Len() == 0 && !slices.ContainsFunc(n.nodes, (*node).busy) {
			break
		}
		n.now += 10
		n.tick()
	}
	n.check()
	if n.open != 0 {
		n.t.Fatalf("the chooser was told too little or too much: %d", n.open)
	}
	for number := range n.arrived {
		if _, ok := n.finished[number]; !ok && !n.lost[number] {
			n.t.Fatalf("request %d is never finished", number)
		}
	}
	for _, node := range n.nodes {
		if node.busy() {
			n.t.Fatalf("%v still holds %+v", node.self, node.gate.Load())
		}
	}
}

func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		t.Repeat(n.actions())
		n.settle()
	})
}
