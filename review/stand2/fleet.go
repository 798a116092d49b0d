package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The ports of a machine, as the platform's settings name them. Each machine has a loopback
// address of its own.
const (
	portStore     = ":7000"
	portTarget    = ":8301"
	portReadiness = ":8302"
	portOutbound  = ":8304"
	portControl   = ":8306"
	portPeer      = ":7620"
	portRelay     = ":7625"
)

// machine describes one machine of a deployment.
type machine struct {
	name, service, region, zone string
	memoryMB, linkMbps          int
}

// node is a node's process on a machine.
type node struct {
	machine
	ip       string
	settings string
	fleet    *fleet

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended, and expected is set if the stand-in of
	// the platform has ended it.
	ended    chan struct{}
	expected bool
}

// fleet is a small deployment: the store and the nodes as separate processes.
type fleet struct {
	record *record
	// root is the root of the repository, and dir a temporary folder.
	root, dir string
	// prefix is that of the loopback addresses.
	prefix string
	store  *exec.Cmd
	nodes  []*node
	ctx    context.Context
}

// newFleet starts the store and writes the settings of the nodes. The overrides are merged
// into the settings of every node.
func newFleet(ctx context.Context, r *record, root string, machines []machine, overrides map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, root: root, dir: dir, ctx: ctx}
	if f.prefix, err = freePrefix(ctx); err != nil {
		return nil, err
	}
	f.store = exec.CommandContext(ctx, filepath.Join(root, "target/review-2/storestandin"), "--listen", f.storeAddress())
	if err := f.store.Start(); err != nil {
		return nil, err
	}
	for i, m := range machines {
		n := &node{machine: m, ip: fmt.Sprintf("%s.1.%d", f.prefix, i+1), fleet: f}
		f.nodes = append(f.nodes, n)
		if err := n.writeSettings(overrides); err != nil {
			return nil, err
		}
	}
	return f, f.await("the store", 5*time.Second, func() bool { return canDial(ctx, f.storeAddress()) })
}

// freePrefix returns the first two bytes of loopback addresses that nobody listens on.
func freePrefix(ctx context.Context) (string, error) {
	for range 50 {
		prefix := "127." + strconv.Itoa(20+rand.IntN(200))
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", prefix+".0.1"+portStore)
		if err == nil {
			l.Close()
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (f *fleet) storeAddress() string {
	return f.prefix + ".0.1" + portStore
}

// writeSettings writes the settings that deploy/node.json.tmpl renders for the machine.
func (n *node) writeSettings(overrides map[string]any) error {
	s := map[string]any{
		"node": n.name, "region": n.region, "zone": n.zone, "protocol": "platform",
		"listen": map[string]any{
			"http": n.ip + portOutbound, "peer": n.ip + portPeer, "admin": []string{n.ip + portReadiness, n.ip + portControl},
		},
		"target": map[string]any{"service": n.service, "address": n.ip + portTarget, "heartbeat_ms": 1500},
		"store":  map[string]any{"address": n.fleet.storeAddress()},
		"retry":  map[string]any{"ratio": 0.2, "reserve": 162, "window_s": 10},
		"stop":   map[string]any{"grace_s": 6},
		"log":    map[string]any{"level": "info", "lines_per_s": 10, "output": "stdout"},
		"limits": map[string]any{
			"memory_mb": n.memoryMB, "descriptors": 4100, "link_mbps": n.linkMbps,
			"request_header_bytes": 32768, "request_body_bytes": 67108864,
		},
	}
	for name, value := range overrides {
		s[name] = value
	}
	if s["advertise"] == true {
		s["advertise"] = map[string]any{"peer": n.ip + portRelay}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	n.settings = filepath.Join(n.fleet.dir, n.name+".json")
	return os.WriteFile(n.settings, data, 0o600)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(n.fleet.ctx, filepath.Join(n.fleet.root, "target/dragonflyusherd"), "--settings", n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.fleet.root, log, log
	err = cmd.Start()
	log.Close()
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.expected = cmd, ended, false
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.expected && n.fleet.ctx.Err() == nil {
			n.fleet.record.say("process of %s ended by itself: %v", n.name, err)
		}
		close(ended)
	}()
	return nil
}

// process returns the process id of the node and what is closed when it has ended.
func (n *node) process() (pid int, ended <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid, n.ended
}

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	n.expected = true
	_ = n.cmd.Process.Kill()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// privateMB returns the private memory of the node's process in MiB.
func (n *node) privateMB() int {
	pid, _ := n.process()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// put writes a key of the store as an operator.
func (f *fleet) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	uri := "http://" + f.storeAddress() + "/admin/operate?key=" + key
	r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, uri, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// isReady reports whether the node's readiness address answers 200.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(n.fleet.ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ip+portReadiness+"/dragonflyusher/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReadiness waits until all nodes are ready.
func (f *fleet) awaitReadiness() error {
	return f.await("readiness", 15*time.Second, func() bool {
		for _, n := range f.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

// await polls until a state is reached.
func (f *fleet) await(what string, limit time.Duration, reached func() bool) error {
	for end := time.Now().Add(limit); !reached(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New(what + " took too long")
		}
	}
	return nil
}

func canDial(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// close ends all processes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			n.kill()
		}
	}
	if f.store != nil {
		_ = f.store.Process.Kill()
		_ = f.store.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

// memory returns the private memory of all processes.
func (f *fleet) memory() string {
	text := ""
	for _, n := range f.nodes {
		text += fmt.Sprintf(" %s=%d", n.name, n.privateMB())
	}
	return text
}
