package dfustorestandin

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/platform"
)

// Down says how the store is down.
type Down string

const (
	// DownNo means that the store is up.
	DownNo Down = ""
	// DownRefuse means that every call is refused without effect.
	DownRefuse Down = "refuse"
	// DownLimit means that every call is refused as one too many.
	DownLimit Down = "limit"
	// DownReset means that the connection of every call is closed.
	DownReset Down = "reset"
	// DownHang means that every call waits until the store is up again.
	DownHang Down = "hang"
)

// Switches are the faults of the store. Posting them to /admin sets them all.
type Switches struct {
	Down Down `json:"down"`
	// For lists the IP addresses that Down holds for; if it is empty, it holds
	// for all.
	For []string `json:"for"`
	// Delay is added to each call before its effect.
	Delay dfuclock.Duration `json:"delay_ms"`
	// ReplyDelay is added to each call after its effect.
	ReplyDelay dfuclock.Duration `json:"reply_delay_ms"`
	// LoseRequests is how many writes to come are lost before their effect.
	LoseRequests int `json:"lose_requests"`
	// LoseReplies is how many writes to come take effect without a reply.
	LoseReplies int `json:"lose_replies"`
	// Late is how many writes to come get no reply and take effect LateBy
	// later, if their condition still holds then.
	Late   int               `json:"late"`
	LateBy dfuclock.Duration `json:"late_by_ms"`
	// ThenRefuse is how many calls are refused once the last of these was lost.
	ThenRefuse int `json:"then_refuse"`
	// Refuse is how many calls to come are refused without effect.
	Refuse int `json:"refuse"`
	// Stale makes reads and watches see the content of the moment in which
	// the switch was set.
	Stale bool `json:"stale"`
	// Compact forgets the history once.
	Compact bool `json:"compact"`
	// Revoke ends all leases once.
	Revoke bool `json:"revoke"`
}

// Counts are the calls so far by kind. A watch counts once however long it
// waits.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	Commit uint64 `json:"commit"`
	Lease  uint64 `json:"lease"`
}

// Switch sets all switches.
func (s *Server) Switch(switches Switches) {
	if switches.Compact {
		s.state.compact()
		switches.Compact = false
	}
	if switches.Revoke {
		s.state.revokeAll()
		switches.Revoke = false
	}
	s.state.freeze(switches.Stale)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	close(s.flipped)
	s.flipped = make(chan struct{})
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) current() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

func (s *Server) count(call dfuplatform.StoreCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch call {
	case dfuplatform.CallGet:
		s.counts.Get++
	case dfuplatform.CallRange:
		s.counts.List++
	case dfuplatform.CallWatch:
		s.counts.Watch++
	case dfuplatform.CallCommit:
		s.counts.Commit++
	case dfuplatform.CallGrant, dfuplatform.CallKeep, dfuplatform.CallEndLease:
		s.counts.Lease++
	case dfuplatform.CallNone:
	}
}

// down returns how the store is down for the present call and a channel that is
// closed when the switches change.
func (s *Server) down(caller string) (Down, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Refuse > 0 {
		s.switches.Refuse--
		return DownRefuse, s.flipped
	}
	if len(s.switches.For) > 0 && !slices.Contains(s.switches.For, caller) {
		return DownNo, s.flipped
	}
	return s.switches.Down, s.flipped
}

// loses counts down one of the numbers of messages to lose and reports whether
// the present one is lost.
func (s *Server) loses(left func(*Switches) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := left(&s.switches)
	if *n == 0 {
		return false
	}
	*n--
	if s.switches.LoseRequests+s.switches.LoseReplies == 0 {
		s.switches.Refuse += s.switches.ThenRefuse
	}
	return true
}
