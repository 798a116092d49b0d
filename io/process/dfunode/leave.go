package dfunode

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfustop"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/io/process/dfucontrol"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// drainPollPeriod is how often a stopping node checks whether its target is
	// drained.
	drainPollPeriod = 20 * time.Millisecond
	// claimHandoverTimeout bounds the handover of claims by a stopping node.
	claimHandoverTimeout = 2 * time.Second
	// callersCloseTime is the time before the end of a stop in which the node stops
	// accepting callers although requests still run on its target.
	callersCloseTime = 250 * time.Millisecond
	// minLinkCloseTime is how long the links to other nodes stay open at least, to send
	// the replies of the last requests. unlimitedLinkCloseTime applies to a node without a
	// grace period.
	minLinkCloseTime       = 200 * time.Millisecond
	unlimitedLinkCloseTime = 2 * time.Second
	// leaveGossipTime is how long a stopping node keeps running to announce to the
	// other nodes that it has left.
	leaveGossipTime = 1500 * time.Millisecond
)

// leave drains the target, announces that the node has left and closes the HTTP
// server for callers. c is nil if the node has not joined. It returns the time at which
// the links to other nodes have to be closed.
func (n *Node) leave(c *components) (time.Time, error) {
	latest := n.latest.Load()
	n.log.Info("stopping", zap.Stringer("grace", latest.Stop.Grace.Duration()))
	if latest.Stop.Grace > 0 {
		end, err := n.leaveWithinGrace(c, latest.Stop.Grace.Duration())
		if earliest := time.Now().Add(minLinkCloseTime); end.Before(earliest) {
			end = earliest
		}
		return end, err
	}
	if c != nil {
		c.releaseQuotas()
		c.target.stop()
		n.awaitDrained(c, time.Now().Add(latest.DrainTimeout.Std()))
		n.handOverClaims(c)
		n.control.Announce(dfucontrol.Announcement{Left: true})
		time.Sleep(leaveGossipTime)
		n.log.Info("left", zap.Stringer("member", c.self))
	}
	err := n.callerServer.Close(context.Background())
	return time.Now().Add(unlimitedLinkCloseTime), err
}

// leaveWithinGrace is leave for a process that is killed after a grace period. For
// the first part of the period the node still accepts callers and requests for its
// target that end within the period. Requests in progress are cut off only shortly
// before the period ends, at the time that is returned.
func (n *Node) leaveWithinGrace(c *components, grace dfuclock.Duration) (time.Time, error) {
	schedule := dfustop.Schedule{Began: n.clock.Now(), Grace: grace}
	if c != nil {
		c.dispatcher.ScheduleStop(schedule)
		c.gate.Notify(dfugate.StopScheduled{Schedule: schedule})
	}
	time.Sleep(schedule.CloseAt().Sub(n.clock.Now()).Std())
	deadline := time.Now().Add(schedule.EndAt().Sub(n.clock.Now()).Std())
	if c != nil {
		c.target.stop()
		c.releaseQuotas()
		n.control.Announce(dfucontrol.Announcement{Left: true})
		// The requests that still run may call other services through this node.
		n.awaitDrained(c, deadline.Add(-callersCloseTime))
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := n.callerServer.Close(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		n.log.Warn("requests in progress are cut off", zap.Error(err))
		err = nil
	}
	if c != nil {
		n.awaitDrained(c, deadline)
		n.log.Info("left", zap.Stringer("member", c.self))
	}
	return deadline, err
}

// awaitDrained waits until the target has no request in progress, at the longest
// until the deadline.
func (n *Node) awaitDrained(c *components, deadline time.Time) {
	for time.Now().Before(deadline) && !c.gate.Status().Drained {
		time.Sleep(drainPollPeriod)
	}
}

// releaseQuotas ends the node's ownership of shards of quotas.
func (c *components) releaseQuotas() {
	if c.quotas != nil {
		c.quotas.Leave()
	}
}

// handOverClaims hands the claims of a stopping node over to other nodes.
func (n *Node) handOverClaims(c *components) {
	if c.claims == nil {
		return
	}
	c.claims.Leave()
	select {
	case <-c.claims.Left():
	case <-time.After(claimHandoverTimeout):
		n.log.Warn("claims were not handed over in time")
	}
}
