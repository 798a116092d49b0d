package dfusettings

import (
	"net/netip"
	"os"
	"strconv"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// The defaults of settings that may be left out.
const (
	defaultStoreTimeout dfuclock.Duration = 1 * dfuclock.Second
	defaultDrainTimeout dfuclock.Duration = 30 * dfuclock.Second
	defaultBodyBytes    dfuident.Bytes    = 32 << 20
	defaultAnswerBytes  dfuident.Bytes    = 32 << 20
	defaultInFlight                       = 4096
	defaultHeaderBytes  dfuident.Bytes    = 8 << 10
	defaultLevel                          = "info"
)

// Settings is the whole configuration of one node.
type Settings struct {
	Node   dfuident.NodeID `json:"node"`
	Region dfuident.Region `json:"region"`
	Zone   dfuident.Zone   `json:"zone"`
	Listen Listen          `json:"listen"`
	// Advertise holds the addresses that others are told where they differ
	// from those of Listen.
	Advertise Listen `json:"advertise"`
	Store     Store  `json:"store"`
	Log       Log    `json:"log"`
	Trace     Trace  `json:"trace"`
	Limits    Limits `json:"limits"`
	// Protocol is how callers and targets are spoken to.
	Protocol Protocol `json:"protocol"`
	Target   Target   `json:"target"`
	Retry    Retry    `json:"retry"`
	Stop     Stop     `json:"stop"`
	// DrainTimeout bounds how long a planned stop waits for requests in
	// progress, in ms.
	DrainTimeout dfuclock.Duration `json:"drain_timeout_ms"`
}

// The outputs of the log.
const (
	outputStderr = "stderr"
	OutputStdout = "stdout"
)

// Protocol is how callers and targets are spoken to.
type Protocol string

const (
	// ProtocolNative is the protocol of docs/HTTP.md.
	ProtocolNative Protocol = "native"
	// ProtocolPlatform is the protocol of the users' platform.
	ProtocolPlatform Protocol = "platform"
)

// Target is the target that is expected beside the node. What is left out may
// be anything.
type Target struct {
	Service dfuident.Service `json:"service"`
	Address dfuident.Address `json:"address"`
	// Heartbeat is how often the target announces itself, in ms.
	Heartbeat dfuclock.Duration `json:"heartbeat_ms"`
}

// Retry bounds the extra attempts of the whole fleet for one service in any
// window: so many percent of its requests and a reserve besides.
type Retry struct {
	Ratio   float64 `json:"ratio"`
	Reserve float64 `json:"reserve"`
	// Window is zero if each node has a budget of its own.
	Window dfuclock.Seconds `json:"window_s"`
}

// Stop bounds a planned stop of the process.
type Stop struct {
	// Grace is how long after the order to stop the process may still run; zero
	// if it may take its time.
	Grace dfuclock.Seconds `json:"grace_s"`
}

// Listen holds the addresses that the node listens on and is reached at.
type Listen struct {
	HTTP dfuident.Address `json:"http"`
	Peer dfuident.Address `json:"peer"`
	// Admin is where the operators' pages and the target's announcements are
	// served. If it is empty, they are served at HTTP.
	Admin []dfuident.Address `json:"admin"`
}

// Store locates the platform's key-value service.
type Store struct {
	Address dfuident.Address  `json:"address"`
	Timeout dfuclock.Duration `json:"timeout_ms"`
}

// Log selects what is logged.
type Log struct {
	// Level is one of debug, info, warn and error.
	Level string `json:"level"`
	// LinesPerS bounds the lines with the same message in a second; zero bounds
	// nothing.
	LinesPerS int `json:"lines_per_s"`
	// Output is stderr or stdout.
	Output string `json:"output"`
}

// Trace selects which requests are traced and where their spans go.
type Trace struct {
	// SamplePerMille is the share of requests without a sampled traceparent
	// that are traced, from 0 to 1000.
	SamplePerMille int `json:"sample_per_mille"`
	// File receives spans as JSON, one after another; empty for none.
	File string `json:"file"`
	// OTLPEndpoint is the host:port of an OTLP/HTTP collector; empty for none.
	OTLPEndpoint string `json:"otlp_endpoint"`
}

// Limits bounds what the node holds at one time.
type Limits struct {
	RequestBody dfuident.Bytes `json:"request_body_bytes"`
	Answer      dfuident.Bytes `json:"answer_bytes"`
	// InFlight is the number of requests that the node accepts from callers
	// at one time.
	InFlight int `json:"in_flight"`
	// RequestHeader is the largest header of a caller's request.
	RequestHeader dfuident.Bytes `json:"request_header_bytes"`
	// MemoryMB is the memory that the process may take in MB; zero if nothing
	// bounds it.
	MemoryMB int `json:"memory_mb"`
	// LinkMbps is what the VM's link carries in Mbit/s; zero if that isn't known.
	LinkMbps float64 `json:"link_mbps"`
}

// Load reads the settings file at path and returns them with defaults filled
// in. The error holds every finding with its place.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse checks data, the content of the named file, as settings.
func Parse(file string, data []byte) (Settings, error) {
	settings := defaults()
	var findings dfufinding.List
	positions := dfudecode.Strict(file, data, &settings, &findings)
	if positions.Parsed() {
		c := checker{positions: positions, findings: &findings}
		c.check(settings)
	}
	return settings, findings.Err()
}

func defaults() Settings {
	return Settings{
		Store:        Store{Timeout: defaultStoreTimeout},
		Log:          Log{Level: defaultLevel, Output: outputStderr},
		DrainTimeout: defaultDrainTimeout,
		Protocol:     ProtocolNative,
		Limits: Limits{
			RequestBody: defaultBodyBytes,
			Answer:      defaultAnswerBytes,
			InFlight:    defaultInFlight,

			RequestHeader: defaultHeaderBytes,
		},
	}
}

// checker records what is wrong with the values of settings.
type checker struct {
	positions *dfudecode.Positions
	findings  *dfufinding.List
}

func (c checker) check(s Settings) {
	c.notEmpty("node", string(s.Node))
	c.notEmpty("region", string(s.Region))
	c.notEmpty("zone", string(s.Zone))
	c.address("listen.http", s.Listen.HTTP)
	c.address("listen.peer", s.Listen.Peer)
	c.optionalAddress("advertise.http", s.Advertise.HTTP)
	c.optionalAddress("advertise.peer", s.Advertise.Peer)
	for i, a := range s.Listen.Admin {
		c.address("listen.admin["+strconv.Itoa(i)+"]", a)
	}
	c.address("store.address", s.Store.Address)
	c.optionalAddress("target.address", s.Target.Address)
	if s.Target.Heartbeat < 0 {
		c.add("target.heartbeat_ms", "is %d, must not be negative", s.Target.Heartbeat)
	}
	if s.Protocol != ProtocolNative && s.Protocol != ProtocolPlatform {
		c.add("protocol", "is %q, must be %q or %q", s.Protocol, ProtocolNative, ProtocolPlatform)
	}
	if s.Retry.Ratio < 0 || s.Retry.Reserve < 0 || s.Retry.Window < 0 {
		c.add("retry", "must not hold a negative number")
	}
	if s.Stop.Grace < 0 {
		c.add("stop.grace_s", "is %v, must not be negative", s.Stop.Grace)
	}
	if s.Limits.MemoryMB < 0 {
		c.add("limits.memory_mb", "is %d, must not be negative", s.Limits.MemoryMB)
	}
	if s.Limits.LinkMbps < 0 {
		c.add("limits.link_mbps", "is %g, must not be negative", s.Limits.LinkMbps)
	}
	c.positive("store.timeout_ms", int64(s.Store.Timeout))
	c.positive("drain_timeout_ms", int64(s.DrainTimeout))
	c.positive("limits.request_body_bytes", int64(s.Limits.RequestBody))
	c.positive("limits.answer_bytes", int64(s.Limits.Answer))
	c.positive("limits.request_header_bytes", int64(s.Limits.RequestHeader))
	c.positive("limits.in_flight", int64(s.Limits.InFlight))
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", "is %q, must be one of debug, info, warn, error", s.Log.Level)
	}
	if s.Log.LinesPerS < 0 {
		c.add("log.lines_per_s", "is %d, must not be negative", s.Log.LinesPerS)
	}
	if s.Log.Output != outputStderr && s.Log.Output != OutputStdout {
		c.add("log.output", "is %q, must be %q or %q", s.Log.Output, outputStderr, OutputStdout)
	}
	if s.Trace.SamplePerMille < 0 || s.Trace.SamplePerMille > 1000 {
		c.add("trace.sample_per_mille", "is %d, must be from 0 to 1000", s.Trace.SamplePerMille)
	}
}

func (c checker) add(path, format string, args ...any) {
	c.positions.Add(c.findings, path, format, args...)
}

func (c checker) notEmpty(path, value string) {
	if value == "" {
		c.add(path, "must not be empty")
	}
}

func (c checker) address(path string, address dfuident.Address) {
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		c.add(path, "is %q, must be an IP address with a port, as in 127.0.0.1:7001", address)
	}
}

func (c checker) optionalAddress(path string, address dfuident.Address) {
	if address != "" {
		c.address(path, address)
	}
}

func (c checker) positive(path string, value int64) {
	if value <= 0 {
		c.add(path, "is %d, must be positive", value)
	}
}
