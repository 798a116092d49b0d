package dfusettings

import (
	"cmp"
	"net/netip"
	"os"
	"strconv"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// The defaults of optional settings.
const (
	defaultStoreTimeout       dfuclock.Duration = 1 * dfuclock.Second
	defaultDrainTimeout       dfuclock.Duration = 30 * dfuclock.Second
	defaultRequestBodyBytes   dfuident.Bytes    = 32 << 20
	defaultAnswerBytes        dfuident.Bytes    = 32 << 20
	defaultLargeAnswersBytes  dfuident.Bytes    = 128 << 20
	defaultInFlight                             = 4096
	defaultRequestHeaderBytes dfuident.Bytes    = 8 << 10
	defaultPipelineRequests                     = 32
	defaultPipelineBytes      dfuident.Bytes    = 1 << 20
	defaultLogLevel                             = "info"
	defaultWorkspaceSeries                      = 20
	// maxWorkspaceSeries keeps the page of metrics and the search for the least series short.
	maxWorkspaceSeries = 100
)

// Settings is the configuration of one node.
type Settings struct {
	Node   dfuident.NodeID `json:"node"`
	Region dfuident.Region `json:"region"`
	Zone   dfuident.Zone   `json:"zone"`
	Listen Listen          `json:"listen"`
	// Advertise holds the addresses that are announced to other nodes. Empty ones
	// default to the addresses of Listen; Admin is ignored.
	Advertise Listen `json:"advertise"`
	Store     Store  `json:"store"`
	Log       Log    `json:"log"`
	Trace     Trace  `json:"trace"`
	Limits    Limits `json:"limits"`
	// Protocol is the HTTP protocol used with callers and targets.
	Protocol Protocol `json:"protocol"`
	Target   Target   `json:"target"`
	Retry    Retry    `json:"retry"`
	Stop     Stop     `json:"stop"`

	Revocation Revocation `json:"revocation"`
	Quota      Quota      `json:"quota"`
	Metrics    Metrics    `json:"metrics"`
	Cold       Cold       `json:"cold"`
	Evacuation Evacuation `json:"evacuation"`
	Hedge      Hedge      `json:"hedge"`
	// DrainTimeout is the maximum time that a graceful shutdown waits for
	// requests in progress, in ms.
	DrainTimeout dfuclock.Duration `json:"drain_timeout_ms"`
}

// The values of Log.Output.
const (
	outputStderr = "stderr"
	OutputStdout = "stdout"
)

// Protocol is the HTTP protocol used with callers and targets.
type Protocol string

const (
	// ProtocolNative is the project's own protocol, see docs/HTTP.md.
	ProtocolNative Protocol = "native"
	// ProtocolPlatform is the protocol of the users' platform.
	ProtocolPlatform Protocol = "platform"
)

// Target describes the target that is expected on the node's VM. An empty Service
// or Address matches any.
type Target struct {
	Service dfuident.Service `json:"service"`
	Address dfuident.Address `json:"address"`
	// Heartbeat is the period at which the target announces itself, in ms; zero
	// means unknown.
	Heartbeat dfuclock.Duration `json:"heartbeat_ms"`
}

// Retry limits the extra attempts of the whole fleet for one service in any
// window to Ratio times the number of its requests plus Reserve.
type Retry struct {
	Ratio   float64 `json:"ratio"`
	Reserve float64 `json:"reserve"`
	// Window is the length of the window in seconds. If it is zero, Ratio and
	// Reserve aren't used, and each node has its own retry budget.
	Window dfuclock.Seconds `json:"window_s"`
}

// Stop configures a graceful shutdown of the process.
type Stop struct {
	// Grace is the time in seconds from the stop signal until the process is
	// killed; zero if it isn't killed, so that the shutdown may take up to
	// DrainTimeout to drain.
	Grace dfuclock.Seconds `json:"grace_s"`
}

// Revocation bounds how long a key that was taken from a workspace may still be
// accepted.
type Revocation struct {
	// Bound is the time in ms; zero means no bound.
	Bound dfuclock.Duration `json:"bound_ms"`
	// Strict is set if the bound also holds for a node without a connection to the
	// store.
	Strict bool `json:"strict"`
}

// Quota states how far the requests of a workspace in any window may exceed its quota:
// to 1 + Overage times the quota, plus Tolerance.
type Quota struct {
	// Window is the length of the window in seconds; zero means that quotas don't apply.
	Window    dfuclock.Seconds `json:"window_s"`
	Overage   float64          `json:"overage"`
	Tolerance float64          `json:"tolerance"`
}

// Metrics states which metrics a node has.
type Metrics struct {
	// Workspaces is the number of the largest workspaces that have metrics of their own.
	Workspaces int `json:"workspaces"`
}

// Cold states how many requests a cold target may get in any second from all nodes
// together: Overage times the rate that its service tolerates, plus Tolerance. If
// Overage is zero, that rate doesn't apply.
type Cold struct {
	Overage   float64 `json:"overage"`
	Tolerance float64 `json:"tolerance"`
}

// Evacuation bounds how long an evacuated zone may still get requests.
type Evacuation struct {
	// Bound is the time in ms; zero means that evacuations don't apply.
	Bound dfuclock.Duration `json:"bound_ms"`
}

// Hedge limits the second attempts of idempotent requests whose answer is late.
type Hedge struct {
	// Ratio is the greatest share of second attempts among the requests of a service,
	// from 0 to 1. Zero means that none are made.
	Ratio float64 `json:"ratio"`
}

// Listen holds the addresses of a node, each an IP address with a port.
type Listen struct {
	// HTTP serves callers, Peer other nodes.
	HTTP dfuident.Address `json:"http"`
	Peer dfuident.Address `json:"peer"`
	// Admin serves the operators' pages and the announcements of the target. If
	// it is empty, HTTP serves them.
	Admin []dfuident.Address `json:"admin"`
}

// Store configures the connection to the platform's key-value service.
type Store struct {
	Address dfuident.Address `json:"address"`
	// Timeout is the timeout of one call, in ms.
	Timeout dfuclock.Duration `json:"timeout_ms"`
}

// Log configures the log.
type Log struct {
	// Level is one of debug, info, warn and error.
	Level string `json:"level"`
	// LinesPerS is the maximum number of lines per second with the same
	// message; zero means no limit.
	LinesPerS int `json:"lines_per_s"`
	// Output is stderr or stdout.
	Output string `json:"output"`
}

// Trace configures which requests are traced and where their spans are exported
// to.
type Trace struct {
	// SamplePerMille is the share, in thousandths from 0 to 1000, of the requests
	// without a valid traceparent that are traced. For other requests the sampled
	// flag of the traceparent decides.
	SamplePerMille int `json:"sample_per_mille"`
	// File is the path of a file to which spans are written as consecutive JSON
	// objects; empty disables it.
	File string `json:"file"`
	// OTLPEndpoint is the host:port of an OTLP/HTTP collector; empty disables
	// it.
	OTLPEndpoint string `json:"otlp_endpoint"`
}

// Limits holds the resource limits of the node.
type Limits struct {
	// RequestBody and Answer are the maximum sizes of the body of a request and
	// of an answer.
	RequestBody dfuident.Bytes `json:"request_body_bytes"`
	Answer      dfuident.Bytes `json:"answer_bytes"`
	// LargeAnswers is the memory for answers of more than 256 KiB that are being read
	// from the target at the same time. With MemoryMB it is a quarter of that at most.
	LargeAnswers dfuident.Bytes `json:"large_answers_bytes"`
	// InFlight is the maximum number of concurrent requests of callers.
	InFlight int `json:"in_flight"`
	// RequestHeader is the maximum size of the header of a caller's request.
	RequestHeader dfuident.Bytes `json:"request_header_bytes"`
	// PipelineRequests is the maximum number of unanswered requests on one
	// connection of a caller, and PipelineBytes the maximum size of these requests
	// and of the responses that wait to be written. Above them no further request is
	// read. One request is always read.
	PipelineRequests int            `json:"pipeline_requests"`
	PipelineBytes    dfuident.Bytes `json:"pipeline_bytes"`
	// MemoryMB is the maximum memory of the process in MiB; zero means no
	// limit.
	MemoryMB int `json:"memory_mb"`
	// Bodies is the memory of the bodies of requests and answers. Zero means three eighths
	// of MemoryMB.
	Bodies dfuident.Bytes `json:"bodies_bytes"`
	// Descriptors is the maximum number of file descriptors of the process; zero means
	// unknown.
	Descriptors int `json:"descriptors"`
	// CallerConnections is the maximum number of connections of callers. Zero means half of
	// Descriptors, less those that are reserved for files.
	CallerConnections int `json:"caller_connections"`
	// AdminConnections is the maximum number of connections of each admin address. Zero means
	// that all of them share an eighth of Descriptors, less those that are reserved for files.
	AdminConnections int `json:"admin_connections"`
	// PeerConnections is the maximum number of connections that other nodes have opened. Zero
	// means a quarter of Descriptors, less those that are reserved for files.
	PeerConnections int `json:"peer_connections"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; zero means
	// unknown.
	LinkMbps float64 `json:"link_mbps"`
}

// LargeAnswersBytes returns the memory for large answers, of which LargeAnswers and
// MemoryMB set the maximum.
func (l Limits) LargeAnswersBytes() dfuident.Bytes {
	if l.MemoryMB == 0 {
		return l.LargeAnswers
	}
	const largeAnswersDivisor = 4
	return min(l.LargeAnswers, dfuident.Bytes(l.MemoryMB)<<20/largeAnswersDivisor)
}

// BodiesBytes returns the memory of bodies; zero means no limit.
func (l Limits) BodiesBytes() dfuident.Bytes {
	const numerator, denominator = 3, 8
	return cmp.Or(l.Bodies, dfuident.Bytes(l.MemoryMB)<<20*numerator/denominator)
}

// MaxCallerConnections returns the maximum number of connections of callers, given the
// maximum number of descriptors that the system allows; zero means no limit.
func (l Limits) MaxCallerConnections(bySystem int) int {
	const divisor = 2
	return l.connections(l.CallerConnections, bySystem, divisor)
}

// MaxAdminConnections is MaxCallerConnections for each of a number of admin addresses.
func (l Limits) MaxAdminConnections(bySystem, addresses int) int {
	const divisor = 8
	return l.connections(l.AdminConnections, bySystem, divisor*addresses)
}

// MaxPeerConnections is MaxCallerConnections for the connections that other nodes have opened.
func (l Limits) MaxPeerConnections(bySystem int) int {
	const divisor = 4
	return l.connections(l.PeerConnections, bySystem, divisor)
}

// connections returns the configured number of connections or, if that is zero, a part of the
// descriptors that aren't reserved; zero means no limit.
func (l Limits) connections(configured, bySystem, divisor int) int {
	const reserved, least = 200, 16
	if configured > 0 {
		return configured
	}
	descriptors := cmp.Or(l.Descriptors, bySystem)
	if bySystem > 0 {
		descriptors = min(descriptors, bySystem)
	}
	if descriptors == 0 {
		return 0
	}
	return max((descriptors-reserved)/divisor, least)
}

// Load reads and validates the settings file at path. Settings that the file
// doesn't contain have their default values. The error lists every finding with
// its position.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse is Load for the content of a file. The name of the file is used only for
// the positions in the error.
func Parse(file string, data []byte) (Settings, error) {
	settings := defaultSettings()
	var findings dfufinding.List
	positions := dfudecode.Strict(file, data, &settings, &findings)
	if positions.Parsed() {
		c := checker{positions: positions, findings: &findings}
		c.check(settings)
	}
	return settings, findings.Err()
}

func defaultSettings() Settings {
	return Settings{
		Store:        Store{Timeout: defaultStoreTimeout},
		Log:          Log{Level: defaultLogLevel, Output: outputStderr},
		DrainTimeout: defaultDrainTimeout,
		Protocol:     ProtocolNative,
		Metrics:      Metrics{Workspaces: defaultWorkspaceSeries},
		Limits: Limits{
			RequestBody: defaultRequestBodyBytes,
			Answer:      defaultAnswerBytes,

			LargeAnswers: defaultLargeAnswersBytes,
			InFlight:     defaultInFlight,

			RequestHeader:    defaultRequestHeaderBytes,
			PipelineRequests: defaultPipelineRequests,
			PipelineBytes:    defaultPipelineBytes,
		},
	}
}

// checker validates settings and collects the findings.
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
		c.add("retry", "must not contain a negative number")
	}
	c.notNegative("revocation.bound_ms", float64(s.Revocation.Bound))
	c.notNegative("quota.window_s", float64(s.Quota.Window))
	c.notNegative("quota.overage", s.Quota.Overage)
	c.notNegative("quota.tolerance", s.Quota.Tolerance)
	if n := s.Metrics.Workspaces; n < 0 || n > maxWorkspaceSeries {
		c.add("metrics.workspaces", "is %d, must be from 0 to %d", n, maxWorkspaceSeries)
	}
	c.notNegative("cold.overage", s.Cold.Overage)
	c.notNegative("cold.tolerance", s.Cold.Tolerance)
	c.notNegative("evacuation.bound_ms", float64(s.Evacuation.Bound))
	if s.Hedge.Ratio < 0 || s.Hedge.Ratio > 1 {
		c.add("hedge.ratio", "is %g, must be from 0 to 1", s.Hedge.Ratio)
	}
	if s.Stop.Grace < 0 {
		c.add("stop.grace_s", "is %v, must not be negative", s.Stop.Grace)
	}
	c.positive("store.timeout_ms", int64(s.Store.Timeout))
	c.positive("drain_timeout_ms", int64(s.DrainTimeout))
	c.checkLimits(s.Limits)
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

func (c checker) checkLimits(l Limits) {
	if l.MemoryMB < 0 {
		c.add("limits.memory_mb", "is %d, must not be negative", l.MemoryMB)
	}
	if l.LinkMbps < 0 {
		c.add("limits.link_mbps", "is %g, must not be negative", l.LinkMbps)
	}
	c.notNegative("limits.descriptors", float64(l.Descriptors))
	c.notNegative("limits.caller_connections", float64(l.CallerConnections))
	c.notNegative("limits.admin_connections", float64(l.AdminConnections))
	c.notNegative("limits.peer_connections", float64(l.PeerConnections))
	c.notNegative("limits.bodies_bytes", float64(l.Bodies))
	c.positive("limits.request_body_bytes", int64(l.RequestBody))
	c.positive("limits.answer_bytes", int64(l.Answer))
	c.positive("limits.request_header_bytes", int64(l.RequestHeader))
	c.positive("limits.large_answers_bytes", int64(l.LargeAnswers))
	c.positive("limits.in_flight", int64(l.InFlight))
	c.positive("limits.pipeline_requests", int64(l.PipelineRequests))
	c.positive("limits.pipeline_bytes", int64(l.PipelineBytes))
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

func (c checker) notNegative(path string, value float64) {
	if value < 0 {
		c.add(path, "is %g, must not be negative", value)
	}
}

func (c checker) positive(path string, value int64) {
	if value <= 0 {
		c.add(path, "is %d, must be positive", value)
	}
}
