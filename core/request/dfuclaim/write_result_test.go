package dfuclaim_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"

	"github.com/matryer/is"
)

// The result of a write that a newer table has ended must not count as the result of the next
// write, which is outstanding. Otherwise a copy holder states that it will never take over its
// shard, so that the owner grants alone, while its own takeover takes effect: two nodes then
// grant the same key.
func TestResultBelongsToItsWrite(t *testing.T) {
	is := is.New(t)
	owner, self := dfuident.Member{Node: "a", Incarnation: 1}, dfuident.Member{Node: "b", Incarnation: 1}
	m := dfuclaim.New(dfuclaim.DefaultConfig(), self, "s", rand.New(rand.NewPCG(1, 1)))
	now := dfuclock.Time(0)
	step := func(e dfuclaim.Event) []dfuclaim.Action {
		now++
		return m.Step(now, e)
	}
	see := func(state dfuclaim.NodeState) []dfuclaim.Action {
		return step(dfuclaim.RosterChanged{Nodes: []dfuclaim.Node{{Member: owner, State: state}, {Member: self, State: dfuclaim.NodeAlive}}})
	}
	// until sends ticks until the machine reads or writes the table.
	until := func() dfuclaim.Action {
		for range 10_000 {
			now += 20
			for _, a := range step(dfuclaim.Tick{Wall: dfuclaim.UnixMs(now)}) {
				switch a.(type) {
				case dfuclaim.ReadTable, dfuclaim.WriteTable:
					return a
				default:
				}
			}
		}
		t.Fatal("the machine calls the store no more")
		return nil
	}
	statesLeaving := func(actions []dfuclaim.Action) bool {
		return slices.ContainsFunc(actions, func(a dfuclaim.Action) bool {
			sent, ok := a.(dfuclaim.SendMessage)
			if !ok {
				return false
			}
			_, leaves := sent.Message.(dfuclaim.LeaveCopy)
			return leaves
		})
	}
	table := dfuclaim.Table{Shards: []dfuclaim.ShardEntry{{Owner: owner, Copy: self, Generation: 1}}}
	see(dfuclaim.NodeAlive)
	step(dfuclaim.PeerMessage{From: owner, Message: dfuclaim.Snapshot{Term: dfuclaim.Term{Shard: 0, Generation: 1}, Revision: 5, Table: table}})
	is.Equal(until(), dfuclaim.ReadTable{})
	step(dfuclaim.TableRead{Revision: 5, Table: table})

	// The owner is out of reach. The reply to the takeover is lost, and it is sent again.
	see(dfuclaim.NodeDead)
	next := until()
	for next == dfuclaim.Action(dfuclaim.ReadTable{}) {
		step(dfuclaim.TableRead{Revision: 5, Table: table})
		next = until()
	}
	is.Equal(next.(dfuclaim.WriteTable).Expect, dfuident.Revision(5))
	step(dfuclaim.WriteResult{Status: dfuclaim.WriteUncertain, Expect: 5})
	is.Equal(until(), dfuclaim.ReadTable{})
	again := step(dfuclaim.TableRead{Revision: 5, Table: table})
	is.Equal(again[0].(dfuclaim.WriteTable).Expect, dfuident.Revision(5))

	// A newer table ends that write before its result arrives, and the machine writes anew.
	step(dfuclaim.PeerMessage{From: self, Message: dfuclaim.TableNotice{Revision: 6, Table: table}})
	is.Equal(until().(dfuclaim.WriteTable).Expect, dfuident.Revision(6))
	step(dfuclaim.WriteResult{Status: dfuclaim.WriteRejected, Expect: 5})

	step(dfuclaim.Stopping{})
	actions := see(dfuclaim.NodeAlive)
	for range 100 {
		now += 20
		actions = append(actions, step(dfuclaim.Tick{Wall: dfuclaim.UnixMs(now)})...)
	}
	is.True(!statesLeaving(actions))

	// The result of the write itself ends it.
	actions = step(dfuclaim.WriteResult{Status: dfuclaim.WriteRejected, Expect: 6})
	for range 1000 {
		now += 20
		actions = append(actions, step(dfuclaim.Tick{Wall: dfuclaim.UnixMs(now)})...)
	}
	is.True(statesLeaving(actions))
}

// A store that was restored from an older copy returns a table in which a former owner holds a shard
// again. It has handed its records over, so that it must not grant a key that the present owner has
// granted.
func TestFormerOwnerOfARestoredTableGrantsNothing(t *testing.T) {
	is := is.New(t)
	self, next := dfuident.Member{Node: "a", Incarnation: 1}, dfuident.Member{Node: "b", Incarnation: 1}
	m := dfuclaim.New(dfuclaim.DefaultConfig(), self, "s", rand.New(rand.NewPCG(1, 1)))
	held := dfuclaim.Table{Shards: []dfuclaim.ShardEntry{{Owner: self, Generation: 1}, {Owner: self, Generation: 1}}}
	handedOver := dfuclaim.Table{Shards: []dfuclaim.ShardEntry{{Owner: next, Generation: 2}, {Owner: self, Generation: 1}}}
	m.Step(1, dfuclaim.TableRead{Revision: 5, Table: held})
	m.Step(2, dfuclaim.TableRead{Revision: 6, Table: handedOver})
	m.Step(3, dfuclaim.TableRead{Revision: dfuident.Era(1).Revision(5), Table: held})
	table, revision := m.Table()
	is.Equal(table, handedOver)
	is.Equal(revision, dfuident.Era(1).Revision(5))
}
