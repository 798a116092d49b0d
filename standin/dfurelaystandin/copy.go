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

// copy moves data from one connection to another, each chunk after the delay,
// until either fails. Data of a silent pair is lost.
func (p *pair) copy(to, from net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.write(to, chunks)
	}()
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			chunks <- chunk{data[:n], time.Now().Add(p.delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	<-done
	p.endUnlessSilent()
}

func (p *pair) write(to net.Conn, chunks <-chan chunk) {
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
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
