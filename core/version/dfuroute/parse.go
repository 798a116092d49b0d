package dfuroute

import (
	"encoding/json"
	"strconv"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// The greatest values allowed in a table.
const (
	maxRoutes   = 100_000
	maxWeight   = 1_000_000
	maxAttempts = 1_000
	maxTimeout  = dfuclock.Hour

	maxWorkspaces   = 100_000
	maxCredentials  = 1_000_000
	maxRequestRate  = 1e9
	maxColdDuration = dfuclock.Hour
)

// tableFields is the JSON representation of a Table.
type tableFields struct {
	Version  Version         `json:"version"`
	Routes   []routeFields   `json:"routes"`
	Services []serviceFields `json:"services"`
	Limits   limitFields     `json:"limits"`

	Workspaces []workspaceFields `json:"workspaces,omitempty"`
}

type routeFields struct {
	Name          string            `json:"name"`
	Host          string            `json:"host"`
	Prefix        string            `json:"prefix"`
	Kind          kindField         `json:"kind"`
	Timeout       dfuclock.Duration `json:"timeout_ms"`
	TargetLatency dfuclock.Duration `json:"target_latency_ms"`
	Priority      int               `json:"priority"`
	Attempts      int               `json:"attempts"`
	Public        bool              `json:"public,omitempty"`
	Homes         []dfuident.Region `json:"homes,omitempty"`
	// Service and Split are mutually exclusive.
	Service dfuident.Service `json:"service,omitempty"`
	Split   []partFields     `json:"split,omitempty"`
}

type partFields struct {
	Service dfuident.Service `json:"service"`
	Weight  int              `json:"weight"`
}

type serviceFields struct {
	Name           dfuident.Service `json:"name"`
	HealthPath     string           `json:"health_path"`
	MaxConnections int              `json:"max_connections"`
	ColdStart      dfuclock.Seconds `json:"cold_start_s,omitempty"`
	ColdRate       float64          `json:"cold_per_s,omitempty"`
}

type workspaceFields struct {
	Name  dfuident.Workspace `json:"name"`
	Keys  []string           `json:"credentials"`
	Rate  float64            `json:"rate_per_s,omitempty"`
	Burst float64            `json:"burst,omitempty"`
	Homes []dfuident.Region  `json:"homes,omitempty"`
	// Priority is nil if the priority of the route applies.
	Priority *int `json:"priority,omitempty"`
}

type limitFields struct {
	HeaderBytes   dfuident.Bytes    `json:"max_header_bytes"`
	BodyBytes     dfuident.Bytes    `json:"max_body_bytes"`
	HeaderTimeout dfuclock.Duration `json:"header_timeout_ms"`
	IdleTimeout   dfuclock.Duration `json:"idle_timeout_ms"`
}

// Parse parses and validates a table in JSON. Unknown fields are ignored, since
// a later version of the software may have written them. The error is a
// *dfufinding.Error that holds all findings, each at its JSON path, unless the
// JSON cannot be decoded.
func Parse(data []byte) (*Table, error) {
	var fields tableFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Wrap(err, "decode routes")
	}
	var findings dfufinding.List
	checkTable(&fields, &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	t := fields.table()
	t.buildIndex()
	return t, nil
}

// Encode returns the table as JSON, in the format of Parse. It leaves out the
// workspaces, since a table holds their keys only as hashes.
func (t *Table) Encode() ([]byte, error) {
	fields := tableFields{Version: t.Version, Limits: limitFields(t.Limits)}
	for i := range t.Routes {
		fields.Routes = append(fields.Routes, t.Routes[i].fields())
	}
	for _, s := range t.Services {
		fields.Services = append(fields.Services, serviceFields(s))
	}
	data, err := json.Marshal(fields)
	return data, errors.Wrap(err, "encode routes")
}

func (r *Route) fields() routeFields {
	f := routeFields{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kindField{name: r.Kind.String(), kind: r.Kind},
		Timeout: r.Timeout, TargetLatency: r.TargetLatency, Priority: r.Priority, Attempts: r.Attempts,
		Public: r.Public, Homes: r.Homes,
	}
	if len(r.Split) == 1 {
		f.Service = r.Split[0].Service
		return f
	}
	for _, p := range r.Split {
		f.Split = append(f.Split, partFields(p))
	}
	return f
}

func (f *tableFields) table() *Table {
	t := &Table{Version: f.Version, Limits: Limits(f.Limits)}
	for i := range f.Routes {
		t.Routes = append(t.Routes, f.Routes[i].route())
	}
	for _, s := range f.Services {
		t.Services = append(t.Services, Service(s))
	}
	for i := range f.Workspaces {
		t.Workspaces = append(t.Workspaces, f.Workspaces[i].workspace())
	}
	return t
}

func (f *routeFields) route() Route {
	r := Route{
		Name: f.Name, Host: strings.ToLower(f.Host), Prefix: f.Prefix, Kind: f.Kind.kind,
		Timeout: f.Timeout, TargetLatency: f.TargetLatency, Priority: f.Priority, Attempts: max(f.Attempts, 1),
		Public: f.Public, Homes: f.Homes,
	}
	if f.Service != "" {
		r.Split = []SplitPart{{Service: f.Service, Weight: 1}}
	}
	for _, p := range f.Split {
		r.Split = append(r.Split, SplitPart(p))
	}
	return r
}

// checker collects the findings about one table.
type checker struct {
	findings    *dfufinding.List
	services    map[dfuident.Service]bool
	hostPrefix  map[string]bool
	workspaces  map[dfuident.Workspace]bool
	credentials map[Credential]bool
}

func newChecker(findings *dfufinding.List) *checker {
	return &checker{
		findings:    findings,
		services:    make(map[dfuident.Service]bool),
		hostPrefix:  make(map[string]bool),
		workspaces:  make(map[dfuident.Workspace]bool),
		credentials: make(map[Credential]bool),
	}
}

func checkTable(f *tableFields, findings *dfufinding.List) {
	c := newChecker(findings)
	if len(f.Routes) > maxRoutes {
		findings.Add("routes", "must be at most %d, got %d", maxRoutes, len(f.Routes))
		return
	}
	if len(f.Workspaces) > maxWorkspaces {
		findings.Add("workspaces", "must be at most %d, got %d", maxWorkspaces, len(f.Workspaces))
		return
	}
	for i := range f.Services {
		c.service(entryPath("services", i), &f.Services[i])
	}
	for i := range f.Routes {
		c.route(entryPath("routes", i), &f.Routes[i])
	}
	for i := range f.Workspaces {
		c.workspace(entryPath("workspaces", i), &f.Workspaces[i])
	}
}

// entryPath returns the JSON path of an entry of a list.
func entryPath(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}

func (c *checker) service(path string, s *serviceFields) {
	if s.Name == "" || c.services[s.Name] {
		c.findings.Add(path+".name", "must be a name of its own, got %q", s.Name)
	}
	c.services[s.Name] = true
	c.checkRange(path+".cold_start_s", int64(s.ColdStart.Duration()), 0, int64(maxColdDuration))
	c.checkRate(path+".cold_per_s", s.ColdRate)
}

func (c *checker) route(path string, r *routeFields) {
	if r.Host == "" {
		c.findings.Add(path+".host", "must not be empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.findings.Add(path+".prefix", "must begin and end with a slash, got %q", r.Prefix)
	}
	if r.Kind.kind == nil {
		c.findings.Add(path+".kind", "is %q, must be idempotent, non_idempotent, upload or download", r.Kind.name)
	}
	c.checkRange(path+".timeout_ms", int64(r.Timeout), 1, int64(maxTimeout))
	c.checkRange(path+".target_latency_ms", int64(r.TargetLatency), 0, int64(maxTimeout))
	c.checkRange(path+".attempts", int64(r.Attempts), 0, maxAttempts)
	c.split(path, r)
	c.homes(path, r.Homes)
	hostPrefix := strings.ToLower(r.Host) + r.Prefix
	if c.hostPrefix[hostPrefix] {
		c.findings.Add(path+".prefix", "stands twice for host %q", r.Host)
	}
	c.hostPrefix[hostPrefix] = true
}

func (c *checker) homes(path string, homes []dfuident.Region) {
	for i, home := range homes {
		if home == "" {
			c.findings.Add(path+".homes["+strconv.Itoa(i)+"]", "must not be empty")
		}
	}
}

func (c *checker) split(path string, r *routeFields) {
	if (r.Service == "") == (len(r.Split) == 0) {
		c.findings.Add(path+".service", "must be given, or split, but not both")
	}
	if r.Service != "" {
		c.checkListed(path+".service", r.Service)
	}
	totalWeight := 0
	for i, p := range r.Split {
		partPath := path + ".split[" + strconv.Itoa(i) + "]"
		c.checkListed(partPath+".service", p.Service)
		c.checkRange(partPath+".weight", int64(p.Weight), 0, maxWeight)
		totalWeight += p.Weight
	}
	if len(r.Split) > 0 && totalWeight <= 0 {
		c.findings.Add(path+".split", "must have a part with a weight above zero")
	}
}

func (c *checker) checkListed(path string, s dfuident.Service) {
	if s == "" || !c.services[s] {
		c.findings.Add(path, "names service %q, which the table does not list", s)
	}
}

func (c *checker) checkRange(path string, got, low, high int64) {
	if got < low || got > high {
		c.findings.Add(path, "must be %d to %d, got %d", low, high, got)
	}
}

func (c *checker) checkRate(path string, got float64) {
	if got < 0 || got > maxRequestRate {
		c.findings.Add(path, "must be 0 to %g, got %g", float64(maxRequestRate), got)
	}
}
