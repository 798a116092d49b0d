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

	"github.com/cockroachdb/errors"
)

// explainCommand shows what the logs of many nodes tell of one request.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// The fields of a log line that explain goes by.
const (
	fieldTime          = "time"
	fieldNode          = "node"
	fieldMessage       = "msg"
	fieldCallerRequest = "caller_request"
	fieldRequest       = "request_id"
)

// logLine is one line of a node's log.
type logLine struct {
	Time    string `json:"time"`
	Node    string `json:"node"`
	Message string `json:"message"`
	// Fields holds the other fields as they are written.
	Fields map[string]json.RawMessage `json:"fields"`
	order  []string
}

// run finds the lines that name the caller's id, and then those that name an
// attempt that was made for it.
func (c *explainCommand) run(_ context.Context, s *session) error {
	var lines []logLine
	for _, file := range c.Args.Files {
		read, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found := about(c.Args.ID, lines)
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

// readLog returns the JSON lines of a file. What stands before a line's object,
// such as a collector's own time, and lines without one are left out.
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
		if line, ok := parseLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read %s", path)
}

// parseLine reads one object, keeping its fields in their order.
func parseLine(data []byte) (logLine, bool) {
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
		l.Time = text(value)
	case fieldNode:
		l.Node = text(value)
	case fieldMessage:
		l.Message = text(value)
	case "level":
	default:
		l.Fields[name] = value
		l.order = append(l.order, name)
	}
}

// text returns a JSON string's text, or any other value as it is written.
func text(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	return string(value)
}

// about returns the lines about a caller's request, sorted by time.
func about(id string, lines []logLine) []logLine {
	attempts := make(map[string]bool)
	for _, l := range lines {
		if text(l.Fields[fieldCallerRequest]) == id {
			attempts[text(l.Fields[fieldRequest])] = true
		}
	}
	delete(attempts, "")
	var found []logLine
	for _, l := range lines {
		if text(l.Fields[fieldCallerRequest]) == id || attempts[text(l.Fields[fieldRequest])] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return found
}

// showLines prints lines with the time that has passed since the first.
func (s *session) showLines(lines []logLine) {
	first, _ := time.Parse(logTime, lines[0].Time)
	for _, l := range lines {
		since := l.Time
		if at, err := time.Parse(logTime, l.Time); err == nil {
			since = fmt.Sprintf("+%d ms", at.Sub(first).Milliseconds())
		}
		words := []string{since, l.Node + ":", l.Message}
		for _, name := range l.order {
			if value := text(l.Fields[name]); name != fieldCallerRequest && value != "" && value != "0ms" && value != "0" {
				words = append(words, name+"="+value)
			}
		}
		s.printf("%s", strings.Join(words, " "))
	}
}

// logTime is the form of a log line's time.
const logTime = "2006-01-02T15:04:05.000Z0700"
