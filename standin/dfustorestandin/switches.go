package dfustorestandin

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/platform"
)

// Down is a kind of outage of the store.
type Down string

const (
	// DownNo means that there is no outage.
	DownNo Down = ""
	// DownRefuse refuses calls with status 503, without effect.
	DownRefuse Down = "refuse"
	// DownLimit refuses calls with status 429, without effect.
	DownLimit Down = "limit"
	// DownReset closes the connection of each call without a reply.
	DownReset Down = "reset"
	// DownHang blocks calls until the outage ends.
	DownHang Down = "hang"
)

// Switches are the faults to inject. A POST of them to /admin sets all of them.
type Switches struct {
	// Down is the outage in progress.
	Down Down `json:"down"`
	// For lists the client IP addresses that Down applies to; empty means all.
	For []string `json:"for"`
	// Delay is added to each call before it takes effect.
	Delay dfuclock.Duration `json:"delay_ms"`
	// ReplyDelay is added to each call between its effect and the reply.
	ReplyDelay dfuclock.Duration `json:"reply_delay_ms"`
	// LoseRequests is the number of upcoming writes to drop: they have no effect and
	// get no reply.
	LoseRequests int `json:"lose_requests"`
	// LoseReplies is the number of upcoming writes that take effect but get no reply.
	LoseReplies int `json:"lose_replies"`
	// LoseWatches is the number of upcoming replies to watches to lose. Their connections stay
	// open and return nothing further.
	LoseWatches int `json:"lose_watches"`
	// Late is the number of upcoming writes that get no reply and are executed LateBy
	// later, when their conditions are checked.
	Late   int               `json:"late"`
	LateBy dfuclock.Duration `json:"late_by_ms"`
	// ThenRefuse is added to Refuse when a write is lost or late and neither
	// LoseRequests nor LoseReplies is left.
	ThenRefuse int `json:"then_refuse"`
	// Refuse is the number of upcoming calls to refuse as DownRefuse does, from any
	// client.
	Refuse int `json:"refuse"`
	// Stale makes reads and watches see the content as of the time when the switch
	// was set.
	Stale bool `json:"stale"`
	// Compact discards the history for watches once.
	Compact bool `json:"compact"`
	// Revoke revokes all leases once.
	Revoke bool `json:"revoke"`
}

// Counts are the numbers of calls received since the start, by kind. A watch
// counts once, however long it waits.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	Commit uint64 `json:"commit"`
	Lease  uint64 `json:"lease"`
}

// Switch replaces all switches. Compact and Revoke act at once and are not kept.
func (s *Server) Switch(switches Switches) {
	if switches.Compact {
		s.state.compact()
		switches.Compact = false
	}
	if switches.Revoke {
		s.state.revokeAllLeases()
		switches.Revoke = false
	}
	s.state.setStale(switches.Stale)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	close(s.switchesChanged)
	s.switchesChanged = make(chan struct{})
}

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) currentSwitches() Switches {
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
	case dfuplatform.CallGrant, dfuplatform.CallKeepAlive, dfuplatform.CallRevoke:
		s.counts.Lease++
	case dfuplatform.CallNone:
	}
}

// outage returns the outage that applies to a call from a client's IP address
// and a channel that is closed when the switches are set. It counts Refuse down.
func (s *Server) outage(clientIP string) (Down, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Refuse > 0 {
		s.switches.Refuse--
		return DownRefuse, s.switchesChanged
	}
	if len(s.switches.For) > 0 && !slices.Contains(s.switches.For, clientIP) {
		return DownNo, s.switchesChanged
	}
	return s.switches.Down, s.switchesChanged
}

// consume counts down the counter that field selects and reports whether it was
// above zero. When neither LoseRequests nor LoseReplies is left after that, it adds
// ThenRefuse to Refuse.
func (s *Server) consume(field func(*Switches) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.switches)
	if *n == 0 {
		return false
	}
	*n--
	if s.switches.LoseRequests+s.switches.LoseReplies == 0 {
		s.switches.Refuse += s.switches.ThenRefuse
	}
	return true
}
