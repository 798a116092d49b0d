package dfuclaimer

import (
	"context"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// storeCall is a read, or a write if write is set.
type storeCall struct {
	service dfuident.Service
	write   *dfuclaim.WriteTable
}

// outgoing is a message on its way to another node.
type outgoing struct {
	to  dfuident.Member
	msg dfuclaim.Message
}

// callStore makes the machine's calls to the store, one at a time: it has one
// read or one write outstanding. Each gets its result, also in an outage.
func (d *Duty) callStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-d.calls:
			d.results <- d.storeResult(ctx, call)
		}
	}
}

// storeResult makes one call to the store and returns what the machine is told.
func (d *Duty) storeResult(ctx context.Context, call storeCall) dfuclaim.Event {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if call.write != nil {
		d.counts.writes.Inc(1)
		return d.write(ctx, call)
	}
	d.counts.reads.Inc(1)
	record, err := d.deps.Store.Get(ctx, dfustore.ClaimsKey(call.service))
	switch {
	case err != nil:
		return dfuclaim.ReadFailed{}
	case !record.Exists():
		return dfuclaim.TableSeen{Deleted: record.Deleted}
	}
	table, err := dfuclaim.Decode(record.Value)
	if err != nil {
		d.deps.Log.Error("the claim table in the store is invalid", zap.Error(err))
		return dfuclaim.ReadFailed{}
	}
	return dfuclaim.TableSeen{Revision: record.Revision, Table: table}
}

// write makes one conditional write. Only an error that excludes any effect,
// also a later one, counts as rejected.
func (d *Duty) write(ctx context.Context, call storeCall) dfuclaim.WriteResult {
	value, err := call.write.Table.Encode()
	if err != nil {
		d.deps.Log.Error("encode claim table", zap.Error(err))
		return dfuclaim.WriteResult{Status: dfuclaim.WriteRejected}
	}
	revision, err := d.deps.Store.CompareAndSwap(ctx, dfustore.ClaimsKey(call.service), call.write.Expect, value, 0)
	switch {
	case err == nil:
		return dfuclaim.WriteResult{Status: dfuclaim.WriteAccepted, Revision: revision}
	case errors.IsAny(err, dfustore.ErrConflict, dfustore.ErrUnavailable, dfustore.ErrTooLarge):
		return dfuclaim.WriteResult{Status: dfuclaim.WriteRejected}
	default:
		return dfuclaim.WriteResult{Status: dfuclaim.WriteUncertain}
	}
}

// sendFrom sends the messages of one lane, those that wait for the same node in
// one call. A lost message needs no repeat here.
func (d *Duty) sendFrom(ctx context.Context, lane *dfuring.Ring[outgoing]) {
	var next *outgoing
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case out := <-lane.Items():
				next = &out
			}
		}
		batch, rest := gather(lane, *next)
		next = rest
		d.deliver(ctx, batch)
	}
}

// gather returns the messages that wait for the first one's addressee, and the
// first message for another one, if any.
func gather(lane *dfuring.Ring[outgoing], first outgoing) (batch []outgoing, rest *outgoing) {
	batch = []outgoing{first}
	for len(batch) < batchLimit {
		select {
		case out := <-lane.Items():
			if out.to != first.to {
				return batch, &out
			}
			batch = append(batch, out)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// deliver makes one call to a node.
func (d *Duty) deliver(ctx context.Context, batch []outgoing) {
	to := batch[0].to
	delivery := Delivery{From: d.deps.Self, To: to}
	for _, out := range batch {
		delivery.Messages = append(delivery.Messages, out.msg)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.counts.messages.Inc(int64(len(batch)))
	n, ok := d.view.Load().Node(to.Node)
	if !ok || n.Member != to {
		d.counts.lost.Inc(int64(len(batch)))
		return
	}
	if err := d.deps.Caller.Call(ctx, n.Peer, deliverMethod, delivery, &struct{}{}); err != nil {
		d.counts.lost.Inc(int64(len(batch)))
	}
}
