package dfurelaystandin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	// chunkBytes is the most that is read at once.
	chunkBytes = 64 << 10
	// chunksInFlight bounds what is on its way in one direction.
	chunksInFlight = 512
)

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// stallCheck is how often a direction that is held back looks whether it still is.
const stallCheck = 5 * time.Millisecond

// copy moves data from one connection to another, each chunk after the delay,
// until either fails. Data of a silent pair is lost. What is held back arrives once it
// no longer is, as after the retransmissions of TCP.
func (p *pair) copy(to, from net.Conn, disturbance func() (time.Duration, bool)) {
	chunks := make(chan chunk, chunksInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.write(to, chunks, disturbance)
	}()
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			extra, _ := disturbance()
			chunks <- chunk{data[:n], time.Now().Add(p.delay + extra)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	<-done
	p.endUnlessSilent()
}

func (p *pair) write(to net.Conn, chunks <-chan chunk, disturbance func() (time.Duration, bool)) {
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		for _, held := disturbance(); held && !failed; _, held = disturbance() {
			time.Sleep(stallCheck)
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

// endUnlessSilent ends both sides, unless the end of one would tell the other
// that a silent connection is gone.
func (p *pair) endUnlessSilent() {
	select {
	case <-p.silent:
	default:
		p.close()
	}
}

// admin sets the fault in the body of a POST.
func (r *Relay) admin(w http.ResponseWriter, req *http.Request) {
	var f Fault
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.Set(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
