package dfunode

import (
	"context"
	"slices"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfucrash"
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
	// maxBans bounds the bans that are kept for nodes that appear later, and
	// banCheckPeriod is how often such nodes are looked for.
	maxBans        = 64
	banCheckPeriod = 500 * time.Millisecond
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
// A ban is sent to each node that lacks it as long as it lasts.
type crashReporter struct {
	log  *zap.Logger
	pool *dfupeer.Pool
	view func() *dfuroster.View
	// local returns this node from the current view, or false if it is not there.
	local func() (dfuroster.Node, bool)
	queue *dfuring.Ring[News]
	// calls holds an element for each call in progress.
	calls chan struct{}

	mu sync.Mutex
	// bans holds the bans that the gate has announced, oldest first.
	bans []*ban
}

// ban is a ban with the nodes to which it was sent or is being sent.
type ban struct {
	fingerprint dfucrash.Fingerprint
	until       time.Time
	sentTo      map[dfuident.Member]struct{}
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
	ticker := time.NewTicker(banCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-r.queue.Items():
			if report.Ban != nil {
				r.addBan(*report.Ban)
				r.sendBans(ctx)
				continue
			}
			r.broadcast(ctx, report)
		case <-ticker.C:
			r.sendBans(ctx)
		}
	}
}

// peers returns the other nodes of the service that are neither dead nor left.
func (r *crashReporter) peers() []dfuroster.Node {
	self, ok := r.local()
	if !ok {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.view().Service(self.Service)), func(n dfuroster.Node) bool {
		return n.Member == self.Member || n.State == dfuroster.Dead || n.State == dfuroster.Left
	})
}

// broadcast sends a report to all peers.
func (r *crashReporter) broadcast(ctx context.Context, report News) {
	for _, n := range r.peers() {
		r.start(ctx, func() { r.send(ctx, n, &report) })
	}
}

// start calls send in a goroutine, so that a slow node does not delay the next report to
// the others. It waits while too many calls are in progress.
func (r *crashReporter) start(ctx context.Context, send func()) {
	select {
	case <-ctx.Done():
		return
	case r.calls <- struct{}{}:
	}
	go func() {
		defer func() { <-r.calls }()
		send()
	}()
}

func (r *crashReporter) addBan(action dfugate.BanFingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.bans) == maxBans {
		r.bans = slices.Delete(r.bans, 0, 1)
	}
	r.bans = append(r.bans, &ban{
		fingerprint: action.Fingerprint,
		until:       time.Now().Add(action.For.Std()),
		sentTo:      make(map[dfuident.Member]struct{}),
	})
}

// sendBans sends each ban that lasts to the peers to which it was not sent yet.
func (r *crashReporter) sendBans(ctx context.Context) {
	r.mu.Lock()
	now := time.Now()
	r.bans = slices.DeleteFunc(r.bans, func(b *ban) bool { return !now.Before(b.until) })
	bans := slices.Clone(r.bans)
	r.mu.Unlock()
	if len(bans) == 0 {
		return
	}
	for _, n := range r.peers() {
		for _, b := range bans {
			if r.markSent(b, n.Member) {
				r.start(ctx, func() { r.sendBan(ctx, n, b) })
			}
		}
	}
}

// markSent reports whether the ban was not sent to a node yet, and marks it as sent.
func (r *crashReporter) markSent(b *ban, to dfuident.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := b.sentTo[to]; ok {
		return false
	}
	b.sentTo[to] = struct{}{}
	return true
}

// sendBan sends a ban for the rest of its time. If the node does not answer, the ban
// counts as not sent.
func (r *crashReporter) sendBan(ctx context.Context, to dfuroster.Node, b *ban) {
	rest := dfuclock.Duration(time.Until(b.until).Milliseconds())
	if r.send(ctx, to, &News{Ban: &dfugate.BanFingerprint{Fingerprint: b.fingerprint, For: rest}}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(b.sentTo, to.Member)
}

// send sends a report to a node, again while the node does not answer. It reports whether
// the node has answered.
func (r *crashReporter) send(ctx context.Context, to dfuroster.Node, report *News) bool {
	for range reportAttempts {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.pool.Call(callCtx, to.Peer, dfupeer.Control, dfumessage.MethodNews, report, &struct{}{})
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reportRetryDelay):
		}
	}
	r.log.Warn("crash report not delivered", zap.Stringer("to", to.Member))
	return false
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
