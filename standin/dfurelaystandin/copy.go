package dfurelaystandin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	// maxChunkBytes is the maximum size of one read.
	maxChunkBytes = 64 << 10
	// maxChunksInFlight bounds the chunks that wait for delivery in one direction.
	maxChunksInFlight = 512
)

// chunk is data that was read from one connection and is due at the other.
type chunk struct {
	data []byte
	due  time.Time
}

// stallPollInterval is the time between two checks whether a stall has ended.
const stallPollInterval = 5 * time.Millisecond

// copy copies data from one connection to another until a read fails, and
// delivers each chunk after the delay of the pair and of impairment. Data of a
// silent pair is discarded. Stalled data is delivered when the stall ends, as TCP
// retransmissions would. It closes the pair at the end unless it is silent.
func (p *pair) copy(to, from net.Conn, impairment func() (time.Duration, bool)) {
	chunks := make(chan chunk, maxChunksInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.writeChunks(to, chunks, impairment)
	}()
	for {
		data := make([]byte, maxChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			extra, _ := impairment()
			chunks <- chunk{data[:n], time.Now().Add(p.delay + extra)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	<-done
	p.closeUnlessSilent()
}

// writeChunks writes each chunk when it is due and no stall is in force. After a
// failed write it drains the channel, so that the reader does not block.
func (p *pair) writeChunks(to net.Conn, chunks <-chan chunk, impairment func() (time.Duration, bool)) {
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		for _, stalled := impairment(); stalled && !failed; _, stalled = impairment() {
			time.Sleep(stallPollInterval)
		}
		select {
		case <-p.silent:
			continue
		default:
		}
		if !failed {
			_, err := to.Write(c.data)
			failed = err != nil
		}
	}
}

// closeUnlessSilent closes both connections of the pair unless it is silent:
// closing one side would make the loss of the connection visible to the other.
func (p *pair) closeUnlessSilent() {
	select {
	case <-p.silent:
	default:
		p.close()
	}
}

// handleAdmin applies the fault in the JSON body of a request.
func (r *Relay) handleAdmin(w http.ResponseWriter, req *http.Request) {
	var f Fault
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.Set(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
