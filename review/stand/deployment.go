package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the site that the claims name.
type bounds struct {
	drain, grace, stability, lossSlack time.Duration
	retryRatio                         float64
	retrySlack, retryWindow            int
}

// deployment is a small deployment on loopback addresses: a store, nodes as separate
// processes, and workers and clients in this process.
type deployment struct {
	root, dir string
	record    *record
	bounds    bounds
	memoryMB  int
	// maxFds limits the descriptors of a process, unless it is zero.
	maxFds    int
	heartbeat time.Duration
	prefix    string
	store     string
	storeCmd  *exec.Cmd
	nodes     []*node
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("create %s: %v", path, err)
	}
	return &record{out: bufio.NewWriter(f), file: f, began: time.Now()}
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// ended holds what has to be stopped before the process exits.
var ended struct {
	sync.Mutex
	stop []func()
}

func atEnd(f func()) {
	ended.Lock()
	defer ended.Unlock()
	ended.stop = append(ended.stop, f)
}

func exit(status int) {
	ended.Lock()
	for i := len(ended.stop) - 1; i >= 0; i-- {
		ended.stop[i]()
	}
	ended.Unlock()
	os.Exit(status)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	exit(2)
}

func newDeployment(root, dir string, rec *record) *deployment {
	d := &deployment{
		root: root, dir: dir, record: rec, memoryMB: 284, heartbeat: 1500 * time.Millisecond,
		bounds: bounds{
			drain: 2 * time.Second, grace: 6 * time.Second, stability: 3 * time.Second,
			lossSlack: 200 * time.Millisecond, retryRatio: 0.2, retrySlack: 58, retryWindow: 10,
		},
		prefix: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	d.startStore()
	return d
}

func (d *deployment) startStore() {
	cmd := exec.Command(filepath.Join(d.root, "review/bin/storestandin"), "--listen", d.prefix+".250:0")
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannotRun("%v", err)
	}
	if err := cmd.Start(); err != nil {
		cannotRun("start the store: %v", err)
	}
	d.storeCmd = cmd
	atEnd(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		cannotRun("the store doesn't start: %v", err)
	}
	var ready struct{ Listening string }
	if err := json.Unmarshal([]byte(line), &ready); err != nil {
		cannotRun("the store says %q", line)
	}
	d.store = ready.Listening
}

// route is an entry of the configuration.
type route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	TimeoutMS     int    `json:"timeout_ms"`
	TargetLatency int    `json:"target_latency_ms"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	Attempts      int    `json:"attempts"`
}

const (
	maxBodyBytes = 67108864
	healthPath   = "/health"
)

// configure writes a configuration as the operator does.
func (d *deployment) configure(version int, services []string, routes []route) {
	type service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"health_path"`
		MaxConnections int    `json:"max_connections"`
	}
	var listed []service
	for _, s := range services {
		listed = append(listed, service{s, healthPath, 220})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	resp, err := http.Post("http://"+d.store+"/admin/operate?key="+names["config"], "application/json", bytes.NewReader(body))
	if err != nil || resp.StatusCode != http.StatusOK {
		cannotRun("write the configuration: %v %v", resp, err)
	}
	resp.Body.Close()
	d.record.printf("operator: version %d acknowledged", version)
}

// node is a machine: a node as a process of its own and a worker beside it.
type node struct {
	d                    *deployment
	name, zone, region   string
	service, ip          string
	outbound, readiness  string
	control, application string
	worker               *worker

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Duration
	starts  int
	stopped bool
	// wantsDown is set while the case doesn't want the process to be restarted.
	wantsDown bool
	// ends counts the ends of the process that the case didn't cause.
	ends int
}

// addNode adds a machine. The worker is not started.
func (d *deployment) addNode(zone, region, service string) *node {
	n := &node{d: d, zone: zone, region: region, service: service, ip: fmt.Sprintf("%s.%d", d.prefix, len(d.nodes)+1)}
	n.name = fmt.Sprintf("sidecar-%s-%d", zone, len(d.nodes)+1)
	n.outbound, n.readiness, n.control, n.application = n.ip+":8304", n.ip+":8302", n.ip+":8306", n.ip+":8301"
	d.nodes = append(d.nodes, n)
	n.writeSettings()
	atEnd(n.shutdown)
	return n
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)

// withoutAbsentSections drops the lines of template between {{#name}} and {{/name}}, each on
// a line of its own, whose name has no value.
func withoutAbsentSections(template string, values map[string]any) string {
	var kept []string
	end := ""
	for _, line := range strings.Split(template, "\n") {
		name, isStart := strings.CutPrefix(line, "{{#")
		name = strings.TrimSuffix(name, "}}")
		_, hasValue := values[name]
		switch {
		case end != "":
			if line == end {
				end = ""
			}
		case isStart && !hasValue:
			end = "{{/" + name + "}}"
		case isStart || strings.HasPrefix(line, "{{/"):
		default:
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// writeSettings fills in the template that the deploy file names.
func (n *node) writeSettings() {
	template, err := os.ReadFile(filepath.Join(n.d.root, "deploy/node.json.tmpl"))
	if err != nil {
		cannotRun("%v", err)
	}
	b := n.d.bounds
	values := map[string]any{
		"nodeName": n.name, "region": n.region, "zone": n.zone, "ip": n.ip,
		"listen.outbound": n.outbound, "listen.readiness": n.readiness, "listen.controlPlane": n.control,
		"internalPortRange.0": 7620, "service": n.service, "application": n.application,
		"heartbeatMs": int(n.d.heartbeat / time.Millisecond), "platform.address": n.d.store,
		"bounds.retryBudgetRatio": b.retryRatio, "bounds.retryBudgetSlack": b.retrySlack,
		"bounds.retryWindowS": b.retryWindow, "bounds.graceS": int(b.grace / time.Second),
		"limits.memoryMb": n.d.memoryMB, "limits.linkMbps": 1000.0,
		"limits.maxFds": cmp.Or(n.d.maxFds, 4100),
	}
	text := placeholder.ReplaceAllStringFunc(withoutAbsentSections(string(template), values), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			cannotRun("the template asks for %s", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		data, _ := json.Marshal(v)
		return string(data)
	})
	if err := os.WriteFile(n.settings(), []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

func (n *node) settings() string { return filepath.Join(n.d.dir, n.name+".json") }

// start starts the process as the deploy file does, and restarts it a short time after
// it has ended.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(filepath.Join(n.d.root, "target/dragonflyusherd"), "--settings", n.settings())
	if n.d.maxFds > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, n.d.maxFds), cmd.Path, "--settings", n.settings())
	}
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.d.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", n.name, err)
	}
	n.cmd, n.exited, n.started = cmd, make(chan struct{}), n.d.record.now()
	n.starts++
	n.d.record.printf("platform: %s started, pid %d", n.name, cmd.Process.Pid)
	go n.await(cmd, n.exited)
}

// restartDelay is the short delay after which the platform restarts a process.
const restartDelay = 300 * time.Millisecond

func (n *node) await(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	n.mu.Lock()
	stopped := n.stopped || n.wantsDown
	n.mu.Unlock()
	if stopped {
		return
	}
	n.d.record.printf("platform: %s ended: %v", n.name, err)
	time.Sleep(restartDelay)
	n.start()
}

// startedAt returns when the process was started last.
func (n *node) startedAt() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) shutdown() {
	n.mu.Lock()
	n.stopped = true
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// memory returns the anonymous resident memory of the process, in bytes. Its program
// and other mapped files, and what lies unread in its sockets, aren't counted.
func (n *node) memory() int {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (n *node) descriptors() int {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	return len(entries)
}

// ready asks the node whether it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.readiness + "/dragonflyusher/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range d.nodes {
			all = all && n.ready()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			cannotRun("the nodes don't become ready")
		}
	}
}

// answer is what a client gets for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, seal %q, %d bytes", a.status, a.header.Get(names["seal"]), len(a.body))
}

// conn is a kept connection of a client.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func dialNode(n *node) (*conn, error) {
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// send writes a request whole.
func (c *conn) send(method, host, uri, id string, deadline time.Duration, body []byte) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, uri, host,
		names["attemptID"], id, names["deadline"], deadline/time.Millisecond)
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := c.Write(append([]byte(head+"\r\n"), body...))
	return err
}

// read reads the answer to a request.
func (c *conn) read(method string, limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, body, err}
}

var lastID struct {
	sync.Mutex
	n int
}

// newID returns a new attempt id.
func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.n)
}
