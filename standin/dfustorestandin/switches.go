package dfustorestandin

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/valyala/fasthttp"
)

// Down says how the store is down.
type Down string

const (
	// DownNo means that the store is up.
	DownNo Down = ""
	// DownRefuse means that every call is refused without effect.
	DownRefuse Down = "refuse"
	// DownHang means that every call waits until the store is up again.
	DownHang Down = "hang"
)

// Switches are the faults of the store. Posting them to /admin sets them all.
type Switches struct {
	Down Down `json:"down"`
	// Delay is added to each call before its effect.
	Delay dfuclock.Duration `json:"delay_ms"`
	// ReplyDelay is added to each call after its effect.
	ReplyDelay dfuclock.Duration `json:"reply_delay_ms"`
	// OneWayDelay is added before and after the effect of a call from a region.
	OneWayDelay map[dfuident.Region]dfuclock.Duration `json:"one_way_delay_ms"`
	// LoseRequests is how many writes to come are lost before their effect.
	LoseRequests int `json:"lose_requests"`
	// LoseReplies is how many writes to come take effect without a reply.
	LoseReplies int `json:"lose_replies"`
	// ThenRefuse is how many calls are refused once the last of these was lost.
	ThenRefuse int `json:"then_refuse"`
	// Refuse is how many calls to come are refused without effect.
	Refuse int `json:"refuse"`
	// Stale makes reads and watches see the content of the moment in which
	// the switch was set.
	Stale bool `json:"stale"`
	// Compact forgets all deletes once.
	Compact bool `json:"compact"`
}

// Counts are the calls so far by kind. A watch counts once however long it
// waits.
type Counts struct {
	Get            uint64 `json:"get"`
	List           uint64 `json:"list"`
	Watch          uint64 `json:"watch"`
	CompareAndSwap uint64 `json:"compare_and_swap"`
	Delete         uint64 `json:"delete"`
	Lease          uint64 `json:"lease"`
}

// Switch sets all switches.
func (s *Server) Switch(switches Switches) {
	if switches.Compact {
		s.state.compact()
		switches.Compact = false
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

// admin answers a GET with the counts and switches and sets the switches on a
// POST.
func (s *Server) admin(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var switches Switches
		if !decode(ctx, &switches) {
			return
		}
		s.Switch(switches)
	}
	answer(ctx, fasthttp.StatusOK, struct {
		Counts   Counts   `json:"counts"`
		Switches Switches `json:"switches"`
	}{s.Counts(), s.current()})
}

func (s *Server) current() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

func (s *Server) count(r route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*r.count(&s.counts)++
}

// down returns how the store is down for the present call and a channel that is
// closed when the switches change.
func (s *Server) down() (Down, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Refuse > 0 {
		s.switches.Refuse--
		return DownRefuse, s.flipped
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
