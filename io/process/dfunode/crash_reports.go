package dfunode

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/request/dfumessage"

	"go.uber.org/zap"
)

const (
	// maxQueuedReports bounds the crash reports that wait to be sent.
	maxQueuedReports = 64
	// reportTimeout bounds one call that sends a report to another node.
	reportTimeout = 500 * time.Millisecond
	// reportAttempts is how often a report is sent to a node that does not answer, and
	// reportRetryDelay the pause between two attempts.
	reportAttempts   = 5
	reportRetryDelay = 200 * time.Millisecond
	// maxReportCalls bounds the calls in progress. While it is reached, further reports
	// wait.
	maxReportCalls = 512
)

// News is a report from one gate to the other gates of its service about
// requests that crash targets. Exactly one field is set.
type News struct {
	Crash   *dfugate.ReportCrash
	Ban     *dfugate.BanFingerprint
	Cleared *dfugate.ClearFingerprint
}

// crashReporter sends crash reports to the other nodes of the local target's
// service. A node that misses the report of a crash counts one crash too few and may
// refuse such requests only after a further crash, so reports are retried for a while.
type crashReporter struct {
	log  *zap.Logger
	pool *dfupeer.Pool
	view func() *dfuroster.View
	// local returns this node from the current view, or false if it is not there.
	local func() (dfuroster.Node, bool)
	queue *dfuring.Ring[News]
	// calls holds an element for each call in progress.
	calls chan struct{}
}

// enqueue queues the report of an action of the gate. Actions that do not concern
// crashes are ignored. A report is dropped if the queue is full.
func (r *crashReporter) enqueue(action dfugate.Action) {
	var report News
	switch a := action.(type) {
	case dfugate.ReportCrash:
		report.Crash = &a
	case dfugate.BanFingerprint:
		report.Ban = &a
		r.log.Warn("requests like one that crashed targets are refused",
			zap.Uint64("fingerprint", uint64(a.Fingerprint)), zap.Stringer("for", a.For))
	case dfugate.ClearFingerprint:
		report.Cleared = &a
	default:
		return
	}
	if !r.queue.Offer(report) {
		r.log.Warn("crash report dropped: the queue is full")
	}
}

// run sends queued reports until ctx ends.
func (r *crashReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-r.queue.Items():
			r.broadcast(ctx, report)
		}
	}
}

// broadcast sends a report concurrently to the other nodes of the service that
// are neither dead nor left. It does not wait for their answers, so that a slow node
// does not delay the next report to the others.
func (r *crashReporter) broadcast(ctx context.Context, report News) {
	self, ok := r.local()
	if !ok {
		return
	}
	for _, n := range r.view().Service(self.Service) {
		if n.Member == self.Member || n.State == dfuroster.Dead || n.State == dfuroster.Left {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case r.calls <- struct{}{}:
		}
		go func() {
			defer func() { <-r.calls }()
			r.send(ctx, n, &report)
		}()
	}
}

// send sends a report to a node, again while the node does not answer.
func (r *crashReporter) send(ctx context.Context, to dfuroster.Node, report *News) {
	for range reportAttempts {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.pool.Call(callCtx, to.Peer, dfupeer.Control, dfumessage.MethodNews, report, &struct{}{})
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportRetryDelay):
		}
	}
	r.log.Warn("crash report not delivered", zap.Stringer("to", to.Member))
}

// events returns the events that the report causes at the receiving gate.
func (n *News) events() []dfugate.Event {
	var events []dfugate.Event
	if n.Crash != nil {
		events = append(events, dfugate.PeerCrashed(*n.Crash))
	}
	if n.Ban != nil {
		events = append(events, dfugate.FingerprintBanned(*n.Ban))
	}
	if n.Cleared != nil {
		events = append(events, dfugate.FingerprintCleared(*n.Cleared))
	}
	return events
}
