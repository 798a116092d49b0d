package dfunode

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/io/process/dfucontrol"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// drainPoll is how often a stopping node looks whether its target is
	// drained.
	drainPoll = 20 * time.Millisecond
	// handOverWait bounds the handing over of claims by a stopping node.
	handOverWait = 2 * time.Second
	// leaveWait is how long a stopping node stays to tell others that it left.
	leaveWait = 1500 * time.Millisecond
	// servePercent is the part of the time to stop in which callers are still
	// accepted: they are moved to other nodes once this one has failed two checks
	// of its readiness, a second apart.
	servePercent = 60
	// finishPercent is the part of the time to stop until which requests in
	// progress are waited for.
	finishPercent = 92
)

// leave drains the target, tells the others that the node has left and ends the
// requests of callers.
func (n *Node) leave(s *started) error {
	live := n.live.Load()
	n.log.Info("stopping", zap.Stringer("grace", live.Stop.Grace.Duration()))
	if live.Stop.Grace > 0 {
		return n.leaveWithin(s, live.Stop.Grace.Duration())
	}
	if s != nil {
		s.target.stop()
		n.awaitDrained(s, time.Now().Add(live.DrainTimeout.Std()))
		n.leaveClaims(s)
		n.control.Announce(dfucontrol.Announcement{Left: true})
		time.Sleep(leaveWait)
		n.log.Info("left", zap.Stringer("member", s.self))
	}
	return n.front.Close(context.Background())
}

// leaveWithin is leave for a process that is killed after a time. It goes on to
// accept callers and requests for its target for a while, and ends requests that
// are still in progress only shortly before it would be killed.
func (n *Node) leaveWithin(s *started, grace dfuclock.Duration) error {
	began := time.Now()
	time.Sleep(grace.Std() * servePercent / 100)
	if s != nil {
		s.target.stop()
		n.control.Announce(dfucontrol.Announcement{Left: true})
	}
	end := began.Add(grace.Std() * finishPercent / 100)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := n.front.Close(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		n.log.Warn("requests in progress are cut off", zap.Error(err))
		err = nil
	}
	if s != nil {
		n.awaitDrained(s, end)
		n.log.Info("left", zap.Stringer("member", s.self))
	}
	return err
}

// awaitDrained waits until the target has no request in progress, or until a
// time.
func (n *Node) awaitDrained(s *started, until time.Time) {
	for time.Now().Before(until) && !s.gate.Status().Drained {
		time.Sleep(drainPoll)
	}
}

// leaveClaims hands the claims of a stopping node over.
func (n *Node) leaveClaims(s *started) {
	if s.claims == nil {
		return
	}
	s.claims.Leave()
	select {
	case <-s.claims.Left():
	case <-time.After(handOverWait):
		n.log.Warn("claims were not handed over in time")
	}
}
