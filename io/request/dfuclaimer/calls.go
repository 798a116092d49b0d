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

// storeCall is a read of the claim table, or a write if writeTable is not nil.
type storeCall struct {
	service    dfuident.Service
	writeTable *dfuclaim.WriteTable
}

// outgoingMessage is a message to be sent to another node.
type outgoingMessage struct {
	to  dfuident.Member
	msg dfuclaim.Message
}

// runStoreCalls executes the machine's calls to the store one at a time. The machine
// has one read or one write outstanding, unless a newer table from a peer ends its
// pending write: it may then issue the next call before that write has its result.
// Every call gets a result, also during an outage of the store.
func (c *Claimer) runStoreCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-c.storeCalls:
			c.storeResults <- c.runStoreCall(ctx, call)
		}
	}
}

// runStoreCall executes one call to the store and returns the result as an event
// for the machine.
func (c *Claimer) runStoreCall(ctx context.Context, call storeCall) dfuclaim.Event {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if call.writeTable != nil {
		c.counts.writes.Inc(1)
		return c.writeTable(ctx, call)
	}
	c.counts.reads.Inc(1)
	record, err := c.deps.Store.Get(ctx, dfustore.ClaimsKey(call.service))
	switch {
	case err != nil:
		return dfuclaim.ReadFailed{}
	case !record.Exists():
		return dfuclaim.TableRead{Deleted: record.Deleted}
	}
	table, err := dfuclaim.Decode(record.Value)
	if err != nil {
		c.deps.Log.Error("the claim table in the store is invalid", zap.Error(err))
		return dfuclaim.ReadFailed{}
	}
	return dfuclaim.TableRead{Revision: record.Revision, Table: table}
}

// writeTable makes one conditional write. An error counts as rejected only if the
// write can't take effect, now or later; any other error leaves the result uncertain.
func (c *Claimer) writeTable(ctx context.Context, call storeCall) dfuclaim.WriteResult {
	result := dfuclaim.WriteResult{Status: dfuclaim.WriteRejected, Expect: call.writeTable.Expect}
	value, err := call.writeTable.Table.Encode()
	if err != nil {
		c.deps.Log.Error("failed to encode the claim table", zap.Error(err))
		return result
	}
	revision, err := c.deps.Store.CompareAndSwap(ctx, dfustore.ClaimsKey(call.service), result.Expect, value, 0)
	switch {
	case err == nil:
		result.Status, result.Revision = dfuclaim.WriteAccepted, revision
	case errors.IsAny(err, dfustore.ErrConflict, dfustore.ErrUnavailable, dfustore.ErrTooLarge):
	default:
		result.Status = dfuclaim.WriteUncertain
	}
	return result
}

// sendMessages sends the messages of one queue. Consecutive messages to the same
// node go into one call. Lost messages are not sent again here: the machine repeats
// those that matter.
func (c *Claimer) sendMessages(ctx context.Context, queue *dfuring.Ring[outgoingMessage]) {
	var next *outgoingMessage
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case out := <-queue.Items():
				next = &out
			}
		}
		batch, rest := nextBatch(queue, *next)
		next = rest
		c.deliver(ctx, batch)
	}
}

// nextBatch takes the messages for the recipient of first from the queue until it
// is empty, the batch is full, or a message for another recipient follows, which is
// returned as rest.
func nextBatch(queue *dfuring.Ring[outgoingMessage], first outgoingMessage) (batch []outgoingMessage, rest *outgoingMessage) {
	batch = []outgoingMessage{first}
	for len(batch) < maxBatchMessages {
		select {
		case out := <-queue.Items():
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

// deliver sends a batch to its recipient in one call. Messages to an incarnation
// that the view doesn't list are dropped and counted as lost.
func (c *Claimer) deliver(ctx context.Context, batch []outgoingMessage) {
	to := batch[0].to
	delivery := Delivery{From: c.deps.Self, To: to}
	for _, out := range batch {
		delivery.Messages = append(delivery.Messages, out.msg)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	c.counts.messages.Inc(int64(len(batch)))
	n, ok := c.view.Load().Node(to.Node)
	if !ok || n.Member != to {
		c.counts.lost.Inc(int64(len(batch)))
		return
	}
	if err := c.deps.PeerClient.Call(ctx, n.Peer, deliverMethod, delivery, &struct{}{}); err != nil {
		c.counts.lost.Inc(int64(len(batch)))
	}
}
