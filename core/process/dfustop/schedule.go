package dfustop

import "dragonflyusher/core/process/dfuclock"

const (
	// movePercent is the share of the grace period in which callers can't have moved to
	// other nodes: that takes two failed readiness checks, a second apart.
	movePercent = 33
	// closePercent is the share of the grace period in which callers are accepted.
	closePercent = 60
	// endPercent is the share of the grace period in which requests in progress are
	// awaited.
	endPercent = 92
	// answerReserve is the time that it takes to pass on an answer or a timeout.
	answerReserve = 50 * dfuclock.Millisecond
)

// Schedule is the schedule of a planned stop. The zero value is that of a node that
// does not stop.
type Schedule struct {
	// Began is when the node was asked to stop, Grace the time until it is killed.
	Began dfuclock.Time
	Grace dfuclock.Duration
}

func (s Schedule) at(percent dfuclock.Duration) dfuclock.Time {
	return s.Began.Add(s.Grace * percent / 100)
}

// CloseAt returns when the node stops accepting callers.
func (s Schedule) CloseAt() dfuclock.Time {
	return s.at(closePercent)
}

// EndAt returns when the node cuts off the requests still in progress.
func (s Schedule) EndAt() dfuclock.Time {
	return s.at(endPercent)
}

// Admits reports whether the node accepts, at the time now, a request that ends after
// remaining at the latest. Before callers can have moved, it accepts any request: a
// refused caller could only come back to this node.
func (s Schedule) Admits(now dfuclock.Time, remaining dfuclock.Duration) bool {
	if s.Grace == 0 || now.Before(s.at(movePercent)) {
		return true
	}
	return !s.EndAt().Before(now.Add(remaining + answerReserve))
}
