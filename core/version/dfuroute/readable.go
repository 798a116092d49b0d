package dfuroute

import (
	"encoding/json"
	"strings"

	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

var (
	errTwice   = errors.New("a name stands twice in a table that is no JSON")
	errNoRoute = errors.New("a route is no JSON, and its host or prefix can't be read")
)

// tableEntries is the JSON representation of a Table whose entries are decoded one by
// one.
type tableEntries struct {
	Version    Version           `json:"version"`
	Routes     []json.RawMessage `json:"routes"`
	Services   []json.RawMessage `json:"services"`
	Workspaces []json.RawMessage `json:"workspaces"`
	Limits     json.RawMessage   `json:"limits"`
}

// ParseReadable parses a table as Parse does, but leaves out the entries that this
// version can't read, and lists them in Table.Unreadable. A request that matches a
// route left out gets no other route, see Route.Unreadable. It returns an error if it can't
// determine the lists of the table, or which requests match a route that isn't valid JSON:
// another route might match them, with wider rights.
func ParseReadable(data []byte) (*Table, error) {
	var entries tableEntries
	if err := json.Unmarshal(data, &entries); err != nil {
		// The decoder accepts no text of which any entry is invalid or nested too deeply.
		if splitErr := entries.split(data); splitErr != nil {
			return nil, errors.Wrap(err, "decode routes")
		}
	}
	if len(entries.Routes) > maxRoutes || len(entries.Workspaces) > maxWorkspaces {
		return nil, errors.Newf("the table has more than %d routes or %d workspaces", maxRoutes, maxWorkspaces)
	}
	var findings dfufinding.List
	c := newChecker(&findings)
	fields := tableFields{Version: entries.Version}
	services, unreadableServices := readEntries("services", entries.Services, c, (*checker).service)
	fields.Services = services
	for _, raw := range unreadableServices {
		c.services[dfuident.Service(textField(raw, "name"))] = true
	}
	routes, unreadable := readEntries("routes", entries.Routes, c, (*checker).route)
	fields.Routes = routes
	fields.Workspaces, _ = readEntries("workspaces", entries.Workspaces, c, (*checker).workspace)
	if len(entries.Limits) > 0 && json.Unmarshal(entries.Limits, &fields.Limits) != nil {
		findings.Add("limits", "can't be decoded")
		fields.Limits = limitFields{}
	}
	t := fields.table()
	for _, raw := range unreadable {
		r, ok := unreadableRoute(raw)
		switch {
		case ok:
			t.Routes = append(t.Routes, r)
		case !json.Valid(raw):
			return nil, errNoRoute
		}
	}
	t.UnreadableWorkspaces = len(entries.Workspaces) - len(fields.Workspaces)
	t.Unreadable = findings.Findings()
	t.buildIndex()
	return t, nil
}

// split sets the entries from the text of a table of which some can't be decoded.
func (e *tableEntries) split(data []byte) error {
	members, unique, err := membersOf(data)
	if err != nil {
		return err
	}
	if !unique {
		return errTwice
	}
	*e = tableEntries{Limits: members["limits"]}
	if err := json.Unmarshal(members["version"], &e.Version); err != nil {
		return err
	}
	for name, list := range map[string]*[]json.RawMessage{"routes": &e.Routes, "services": &e.Services, "workspaces": &e.Workspaces} {
		text, ok := members[name]
		if !ok {
			continue
		}
		elements, err := dfudecode.Elements(text)
		if err != nil {
			return err
		}
		for _, element := range elements {
			*list = append(*list, element)
		}
	}
	return nil
}

// readEntries decodes and checks the entries of a list. It returns the valid ones, and
// the others undecoded. The findings name no value of an entry that can't be decoded,
// since it may be a key.
func readEntries[T any](list string, raw []json.RawMessage, c *checker, check func(*checker, string, *T)) (valid []T, unreadable []json.RawMessage) {
	for i, data := range raw {
		path := entryPath(list, i)
		var entry T
		var findings dfufinding.List
		if err := json.Unmarshal(data, &entry); err != nil {
			findings.Add(path, "can't be decoded")
		} else {
			entryChecker := *c
			entryChecker.findings = &findings
			check(&entryChecker, path, &entry)
		}
		if findings.Err() == nil {
			valid = append(valid, entry)
			continue
		}
		unreadable = append(unreadable, data)
		for _, f := range findings.Findings() {
			c.findings.Add(f.Place, "%s", f.Message)
		}
	}
	return valid, unreadable
}

// unreadableRoute returns the placeholder of a route that can't be read. It returns false
// if not even its host and prefix can.
func unreadableRoute(data []byte) (Route, bool) {
	host, prefix := textField(data, "host"), textField(data, "prefix")
	r := Route{Name: textField(data, "name"), Host: canonicalHost(host), Prefix: prefix, Kind: NonIdempotent{}, Unreadable: true}
	return r, r.Host != "" && r.Prefix != ""
}

// textField returns a text in an entry that can't be read as a whole, or "" if it can't be
// read either.
func textField(entry []byte, name string) string {
	members, _, err := membersOf(entry)
	if err != nil {
		return ""
	}
	var text string
	_ = json.Unmarshal(members[name], &text) // An empty text stands for a missing one.
	return text
}

// membersOf returns the values of an object as the decoder does: by their names in any case,
// and of several values with one name the last one. Unique is set if no name stands twice.
func membersOf(object []byte) (values map[string][]byte, unique bool, err error) {
	members, err := dfudecode.Members(object)
	if err != nil {
		return nil, false, err
	}
	values = make(map[string][]byte, len(members))
	for _, m := range members {
		// The decoder also takes other letters whose upper or lower case is an ASCII one.
		values[strings.ToLower(strings.ToUpper(m.Name))] = m.Text
	}
	return values, len(values) == len(members), nil
}
