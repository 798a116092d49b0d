package dfuoperator

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// explainCommand prints the log lines of one request from the logs of several
// nodes.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// The fields of a log line that the explain command interprets.
const (
	fieldTime          = "time"
	fieldNode          = "node"
	fieldMessage       = "msg"
	fieldCallerRequest = "caller_request"
	fieldRequest       = "request_id"
)

// logLine is a line of a node's log.
type logLine struct {
	Time    string `json:"time"`
	Node    string `json:"node"`
	Message string `json:"message"`
	// Fields holds the other fields in their JSON encoding.
	Fields map[string]json.RawMessage `json:"fields"`
	// fieldOrder holds the names of Fields in the order of the line.
	fieldOrder []string
}

// run prints the lines with the given request id of the caller, and those with
// the id of an attempt that was made for that request.
func (c *explainCommand) run(_ context.Context, s *session) error {
	var lines []logLine
	for _, file := range c.Args.Files {
		read, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found := selectLines(c.Args.ID, lines)
	if len(found) == 0 {
		s.notef("no line names request %s; its lines may have been left out, or are in another file", c.Args.ID)
		return errors.WithStack(errFailed)
	}
	if s.json {
		return s.printJSON(found)
	}
	s.showLines(found)
	return nil
}

// readLog returns the log lines of a file. It ignores text before the JSON object
// of a line, such as the timestamp of a log collector, and lines without a JSON
// object.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, badInput("%s", errors.UnwrapAll(err))
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLogLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read %s", path)
}

// parseLogLine parses a JSON object and keeps the order of its fields. It reports
// whether the object is a log line.
func parseLogLine(data []byte) (logLine, bool) {
	line := logLine{Fields: make(map[string]json.RawMessage)}
	d := json.NewDecoder(bytes.NewReader(data))
	if _, err := d.Token(); err != nil {
		return line, false
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return line, false
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
			return line, false
		}
		line.set(fmt.Sprint(name), value)
	}
	return line, line.Message != ""
}

func (l *logLine) set(name string, value json.RawMessage) {
	switch name {
	case fieldTime:
		l.Time = rawText(value)
	case fieldNode:
		l.Node = rawText(value)
	case fieldMessage:
		l.Message = rawText(value)
	case "level":
	default:
		l.Fields[name] = value
		l.fieldOrder = append(l.fieldOrder, name)
	}
}

// rawText returns the value of a JSON string, or the encoding of any other JSON
// value.
func rawText(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	return string(value)
}

// noAttempt is the id in the lines of a request that was refused before its first attempt,
// for example for its key or its quota.
var noAttempt = dfuident.RequestID{}.String()

// selectLines returns the lines of the request with the caller's id, sorted by
// time.
func selectLines(id string, lines []logLine) []logLine {
	attempts := make(map[string]bool)
	for _, l := range lines {
		if rawText(l.Fields[fieldCallerRequest]) == id {
			attempts[rawText(l.Fields[fieldRequest])] = true
		}
	}
	delete(attempts, "")
	delete(attempts, noAttempt)
	var found []logLine
	for _, l := range lines {
		if rawText(l.Fields[fieldCallerRequest]) == id || attempts[rawText(l.Fields[fieldRequest])] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return found
}

// showLines prints log lines, each with the time since the first one. It omits
// the caller's request id and fields that are empty or zero.
func (s *session) showLines(lines []logLine) {
	first, _ := time.Parse(logTimeFormat, lines[0].Time)
	for _, l := range lines {
		since := l.Time
		if at, err := time.Parse(logTimeFormat, l.Time); err == nil {
			since = fmt.Sprintf("+%d ms", at.Sub(first).Milliseconds())
		}
		parts := []string{since, l.Node + ":", l.Message}
		for _, name := range l.fieldOrder {
			if value := rawText(l.Fields[name]); name != fieldCallerRequest && value != "" && value != "0ms" && value != "0" && value != noAttempt {
				parts = append(parts, name+"="+value)
			}
		}
		s.printf("%s", strings.Join(parts, " "))
	}
}

// logTimeFormat is the format of the time of a log line.
const logTimeFormat = "2006-01-02T15:04:05.000Z0700"
