package dfuroute

import (
	"crypto/sha256"
	"slices"
	"strconv"

	"dragonflyusher/core/process/dfuident"
)

// Credential is a hash of an API key. Keys themselves are kept nowhere. The zero
// Credential stands for a request without a key.
type Credential [16]byte

// NewCredential returns the hash of a key, or the zero Credential for an empty key.
func NewCredential(key []byte) Credential {
	if len(key) == 0 {
		return Credential{}
	}
	sum := sha256.Sum256(key)
	return Credential(sum[:len(Credential{})])
}

// IsZero reports whether there is no key.
func (c Credential) IsZero() bool {
	return c == Credential{}
}

// String hides the hash.
func (Credential) String() string {
	return "credential"
}

// Workspace is a tenant of the fleet, on whose behalf requests with one of its keys
// run.
type Workspace struct {
	Name dfuident.Workspace
	// Credentials are the hashes of the keys that are accepted.
	Credentials []Credential
	// Rate is the number of requests per second, over all nodes together, and Burst the
	// number that may exceed it at once. A Rate of zero means no limit.
	Rate, Burst float64
	// Homes are the regions in which the requests may be served. It is empty if any may.
	Homes []dfuident.Region
	// Priority replaces that of the route, unless it is nil.
	Priority *int
}

// Workspace returns the workspace that holds a key. It returns false if there is none
// or the table is nil.
func (t *Table) Workspace(c Credential) (*Workspace, bool) {
	if t == nil {
		return nil, false
	}
	w, ok := t.byCredential[c]
	return w, ok
}

// WorkspaceNamed returns the workspace with a name. It returns false if there is none or
// the table is nil.
func (t *Table) WorkspaceNamed(name dfuident.Workspace) (*Workspace, bool) {
	if t == nil {
		return nil, false
	}
	w, ok := t.byName[name]
	return w, ok
}

// HasWorkspaces reports whether the table has workspaces, including ones that can't be
// read.
func (t *Table) HasWorkspaces() bool {
	return len(t.Workspaces) > 0 || t.UnreadableWorkspaces > 0
}

// RequiresKey reports whether requests on a route need the key of a workspace.
func (t *Table) RequiresKey(r *Route) bool {
	return !r.Public && t.HasWorkspaces()
}

func (t *Table) buildWorkspaceIndex() {
	t.byCredential = make(map[Credential]*Workspace, len(t.Workspaces))
	t.byName = make(map[dfuident.Workspace]*Workspace, len(t.Workspaces))
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		t.byName[w.Name] = w
		for _, c := range w.Credentials {
			t.byCredential[c] = w
		}
	}
}

// HomesOf returns the regions in which requests on a route may be served for a workspace,
// which may be nil. It is empty if any region may. HomesOf returns false if both have homes,
// but none in common.
func HomesOf(r *Route, w *Workspace) ([]dfuident.Region, bool) {
	if w == nil || len(w.Homes) == 0 {
		return r.Homes, true
	}
	if len(r.Homes) == 0 {
		return w.Homes, true
	}
	var common []dfuident.Region
	for _, home := range r.Homes {
		if slices.Contains(w.Homes, home) {
			common = append(common, home)
		}
	}
	return common, len(common) > 0
}

// IsHome reports whether a region is among homes. Without homes every region is.
func IsHome(homes []dfuident.Region, region dfuident.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

func (f *workspaceFields) workspace() Workspace {
	w := Workspace{Name: f.Name, Rate: f.Rate, Burst: f.Burst, Homes: f.Homes, Priority: f.Priority}
	for _, key := range f.Keys {
		w.Credentials = append(w.Credentials, NewCredential([]byte(key)))
	}
	return w
}

// workspace adds the findings about a workspace. They don't contain keys.
func (c *checker) workspace(path string, w *workspaceFields) {
	if w.Name == "" || c.workspaces[w.Name] {
		c.findings.Add(path+".name", "must be a name of its own, got %q", w.Name)
	}
	c.workspaces[w.Name] = true
	for i, key := range w.Keys {
		credential := NewCredential([]byte(key))
		if credential.IsZero() || c.credentials[credential] {
			c.findings.Add(path+".credentials["+strconv.Itoa(i)+"]", "must be a key of its own")
		}
		c.credentials[credential] = true
	}
	if len(c.credentials) > maxCredentials {
		c.findings.Add(path+".credentials", "must be at most %d in all", maxCredentials)
	}
	c.checkRate(path+".rate_per_s", w.Rate)
	c.checkRate(path+".burst", w.Burst)
	c.homes(path, w.Homes)
}
