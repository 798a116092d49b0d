package dfuoperator

import (
	"net/netip"
	"os"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

const (
	defaultTimeout = 2 * dfuclock.Second
	minTimeout     = 10 * dfuclock.Millisecond
	maxTimeout     = dfuclock.Minute
)

// settings holds the addresses that the client connects to and the timeout of
// each call.
type settings struct {
	Store   dfuident.Address  `json:"store"`
	Node    dfuident.Address  `json:"node"`
	Timeout dfuclock.Duration `json:"timeout_ms"`
}

// loadSettings reads the settings file, if one is given. Flags that are set take
// precedence over the file.
func loadSettings(o *options) (settings, error) {
	s := settings{Timeout: defaultTimeout}
	if o.Settings != "" {
		data, err := os.ReadFile(o.Settings)
		if err != nil {
			return s, errors.Mark(err, errBadInput)
		}
		var findings dfufinding.List
		positions := dfudecode.Strict(o.Settings, data, &s, &findings)
		if positions.Parsed() {
			s.check(positions, &findings)
		}
		if err := findings.Err(); err != nil {
			return s, err
		}
	}
	return o.override(s)
}

// override returns the settings with the flags that are set, checked.
func (o *options) override(s settings) (settings, error) {
	if o.Store != "" {
		s.Store = o.Store
	}
	if o.Node != "" {
		s.Node = o.Node
	}
	if o.Timeout != nil {
		s.Timeout = *o.Timeout
	}
	var findings dfufinding.List
	s.check(new(dfudecode.Positions), &findings)
	return s, findings.Err()
}

func (s *settings) check(positions *dfudecode.Positions, findings *dfufinding.List) {
	checkAddress("store", s.Store, positions, findings)
	checkAddress("node", s.Node, positions, findings)
	if s.Timeout < minTimeout || s.Timeout > maxTimeout {
		positions.Add(findings, "timeout_ms", "must be %d to %d, got %d", minTimeout, maxTimeout, s.Timeout)
	}
}

func checkAddress(path string, a dfuident.Address, positions *dfudecode.Positions, findings *dfufinding.List) {
	if a == "" {
		return
	}
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		positions.Add(findings, path, "must be an IP address with a port, got %q", a)
	}
}
