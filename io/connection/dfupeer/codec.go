package dfupeer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/connection/dfubody"

	"github.com/cockroachdb/errors"
)

const (
	// rawBodyBytes is the size above which a body follows its gob message raw, so that
	// neither side buffers it once more.
	rawBodyBytes = 64 << 10
	// rawWait is how long a body from a peer waits for its memory. It is shorter than the
	// time after which a link counts as silent.
	rawWait = 200 * time.Millisecond
)

// Carrier is a message with a body that may be large.
type Carrier interface {
	// BodySize returns the size of the body.
	BodySize() int
	// DetachBody returns a copy of the message without its body, and the body.
	DetachBody() (message any, body []byte)
	// AttachBody sets the body. A nil body means that there was no memory for it.
	AttachBody(body []byte)
	// Sent is called when a reply has been written.
	Sent()
}

// header is the header of a call or of its reply. It extends rpc.Request and rpc.Response.
type header struct {
	ServiceMethod string
	Seq           uint64
	Error         string
	// Raw is the number of bytes that follow the message.
	Raw int64
	// AcceptsRaw is set if the sender accepts messages with Raw. Older versions don't.
	AcceptsRaw bool
}

// codec encodes the messages of one connection.
type codec struct {
	conn   net.Conn
	memory *dfubody.Memory
	enc    *gob.Encoder
	out    *bufio.Writer
	dec    *gob.Decoder
	in     *bufio.Reader
	// abort closes the connection without delivering what was written before.
	abort func()
	// message is the memory of the gob message that is being read, if that is large.
	message *dfubody.Body
	// read is the header that was read last.
	read header
	// peerAcceptsRaw is set once a header from the peer had AcceptsRaw.
	peerAcceptsRaw atomic.Bool
}

// newCodec returns a codec for conn. abort closes conn at once.
func newCodec(conn net.Conn, memory *dfubody.Memory, abort func()) *codec {
	c := &codec{conn: conn, memory: memory, abort: abort, in: bufio.NewReader(conn), out: bufio.NewWriter(conn)}
	c.dec = gob.NewDecoder(&messageLimit{in: c.in, take: c.takeMessage, progress: c.progressMessage})
	c.enc = gob.NewEncoder(c.out)
	return c
}

// messageCopies is how often a gob message is in memory: as it arrived, and decoded.
const messageCopies = 2

// takeMessage takes the memory of a large gob message. It may use that of answers: the
// connection ends if there is none, and with it its other calls.
func (c *codec) takeMessage(size uint64) error {
	if c.message == nil {
		c.message = c.memory.OpenAnswer(c.abort)
	}
	return c.message.Take(messageCopies*dfuident.Bytes(size), rawWait)
}

func (c *codec) progressMessage(n int) {
	if c.message != nil {
		c.message.Progress(n)
	}
}

// decode reads a gob message.
func (c *codec) decode(message any) error {
	err := c.dec.Decode(message)
	c.message.Release()
	c.message = nil
	return err
}

func (c *codec) readHeader() error {
	c.read = header{}
	err := c.decode(&c.read)
	if c.read.AcceptsRaw {
		c.peerAcceptsRaw.Store(true)
	}
	return err
}

// isLarge reports whether message has a body that follows it raw if the peer accepts that.
func isLarge(message any) bool {
	carrier, ok := message.(Carrier)
	return ok && carrier.BodySize() > rawBodyBytes
}

// write writes a header and a message.
func (c *codec) write(h header, message any) error {
	h.AcceptsRaw = true
	var raw []byte
	if carrier, ok := message.(Carrier); ok && isLarge(message) && c.peerAcceptsRaw.Load() {
		message, raw = carrier.DetachBody()
		h.Raw = int64(len(raw))
	}
	if err := c.enc.Encode(h); err != nil {
		return err
	}
	if err := c.enc.Encode(message); err != nil {
		return err
	}
	if _, err := c.out.Write(raw); err != nil {
		return err
	}
	return c.out.Flush()
}

// readMessage reads the message that follows the header. The memory that it returns is that
// of a large body; nil if there is none.
func (c *codec) readMessage(message any, open func(end func()) *dfubody.Body) (*dfubody.Body, error) {
	if err := c.decode(message); err != nil {
		return nil, err
	}
	carrier, _ := message.(Carrier)
	if c.read.Raw == 0 {
		if !isLarge(message) {
			return nil, nil
		}
		memory := open(nil)
		memory.Force(dfuident.Bytes(carrier.BodySize()))
		return memory, nil
	}
	if c.read.Raw < 0 || c.read.Raw > maxMessageBytes {
		return nil, errTooLarge
	}
	memory := open(c.abort)
	if carrier == nil || memory.Take(dfuident.Bytes(c.read.Raw), rawWait) != nil {
		memory.Release()
		if _, err := io.CopyN(io.Discard, c.in, c.read.Raw); err != nil {
			return nil, err
		}
		if carrier != nil {
			carrier.AttachBody(nil)
		}
		return nil, nil
	}
	body := make([]byte, c.read.Raw)
	for n := 0; n < len(body); {
		k, err := c.in.Read(body[n:])
		if err != nil {
			memory.Release()
			return nil, err
		}
		memory.Progress(k)
		n += k
	}
	memory.Received()
	carrier.AttachBody(body)
	return memory, nil
}

// Close closes the connection.
func (c *codec) Close() error {
	return c.conn.Close()
}

// clientCodec implements rpc.ClientCodec. It counts the bytes of calls and of their replies.
type clientCodec struct {
	*codec
	conn  *countedConn
	count CountFunc
	// counted is the number of bytes that were read up to the end of the last reply.
	counted int64
}

// WriteRequest writes a call.
func (c *clientCodec) WriteRequest(r *rpc.Request, args any) error {
	before := c.conn.written.Load()
	err := c.write(header{ServiceMethod: r.ServiceMethod, Seq: r.Seq}, args)
	c.count(r.ServiceMethod, args, c.conn.written.Load()-before)
	return err
}

// ReadResponseHeader reads the header of a reply.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader()
	*r = rpc.Response{ServiceMethod: c.read.ServiceMethod, Seq: c.read.Seq, Error: c.read.Error}
	return err
}

// ReadResponseBody reads a reply.
func (c *clientCodec) ReadResponseBody(reply any) error {
	memory, err := c.readMessage(reply, c.memory.OpenAnswer)
	memory.Release()
	end := c.conn.read.Load() - int64(c.in.Buffered())
	c.count(c.read.ServiceMethod, reply, end-c.counted)
	c.counted = end
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*codec
	conn *serverConn
	mu   sync.Mutex
	// held holds the memory of the calls that have no reply yet.
	held map[uint64]*dfubody.Body
}

// ReadRequestHeader reads the header of a call.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader()
	*r = rpc.Request{ServiceMethod: c.read.ServiceMethod, Seq: c.read.Seq}
	if err == nil {
		c.conn.beginCall()
	}
	return err
}

// ReadRequestBody reads a call.
func (c *serverCodec) ReadRequestBody(args any) error {
	memory, err := c.readMessage(args, c.memory.Open)
	c.conn.callRead()
	if memory != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held[c.read.Seq] = memory
	}
	return err
}

// WriteResponse writes a reply and releases the memory of its call. If that fails, it closes
// the connection.
func (c *serverCodec) WriteResponse(r *rpc.Response, reply any) error {
	err := c.write(header{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, reply)
	if carrier, ok := reply.(Carrier); ok {
		carrier.Sent()
	}
	c.mu.Lock()
	c.held[r.Seq].Release()
	delete(c.held, r.Seq)
	c.mu.Unlock()
	c.conn.endCall()
	if err != nil {
		return errors.CombineErrors(err, c.Close())
	}
	return nil
}
