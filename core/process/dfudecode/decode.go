package dfudecode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"dragonflyusher/core/process/dfufinding"
)

// Positions tells where the values of a decoded text stand.
type Positions struct {
	file    string
	data    []byte
	offsets map[string]int
	// reported holds the paths that a finding names already. Another finding
	// about the same value would only repeat what follows from the first.
	reported map[string]bool
}

// Strict decodes data into the struct that into points to and adds a finding
// for a syntax error, each unknown or repeated field and each value of the
// wrong type. Fields that the text leaves out or sets to null keep the value
// they had, so a caller may fill in defaults beforehand.
//
// File names the text in findings; if it is empty, the place of a finding is
// its JSON path instead of "file:line:col".
func Strict(file string, data []byte, into any, findings *dfufinding.List) *Positions {
	p := &Positions{file: file, data: data, offsets: make(map[string]int), reported: make(map[string]bool)}
	root, offset, err := newParser(data).parse()
	if err != nil {
		findings.Add(p.at(offset, ""), "%s", err.Error())
		return p
	}
	f := filler{positions: p, findings: findings}
	f.fill(&root, "", reflect.ValueOf(into).Elem())
	return p
}

// Parsed reports whether the text was JSON at all.
func (p *Positions) Parsed() bool {
	return len(p.offsets) > 0
}

// Add records a finding about the value at a JSON path. A value that the text
// leaves out is reported at the object that would hold it.
func (p *Positions) Add(findings *dfufinding.List, path, format string, args ...any) {
	if p.reported[path] {
		return
	}
	if p.reported != nil {
		p.reported[path] = true
	}
	message := fmt.Sprintf(format, args...)
	if p.file != "" && path != "" {
		message = path + ": " + message
	}
	findings.Add(p.at(p.offset(path), path), "%s", message)
}

// offset returns where the value at the path, or the nearest value around it,
// starts.
func (p *Positions) offset(path string) int {
	for path != "" {
		if offset, ok := p.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return p.offsets[""]
}

// at returns the place of an offset.
func (p *Positions) at(offset int, path string) string {
	if p.file == "" {
		if path == "" {
			return "."
		}
		return path
	}
	before := p.data[:min(offset, len(p.data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return p.file + ":" + strconv.Itoa(line) + ":" + strconv.Itoa(column)
}

// filler copies a tree of values into Go values.
type filler struct {
	positions *Positions
	findings  *dfufinding.List
}

func (f *filler) fill(v *value, path string, into reflect.Value) {
	f.positions.offsets[path] = v.offset
	if v.kind == kindScalar && v.scalar == nil {
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		f.fillStruct(v, path, into)
	case reflect.Slice:
		f.fillSlice(v, path, into)
	default:
		f.fillScalar(v, path, into)
	}
}

func (f *filler) fillStruct(v *value, path string, into reflect.Value) {
	if v.kind != kindObject {
		f.wrongType(v, path, "an object")
		return
	}
	known := fieldsOf(into.Type())
	seen := make(map[string]bool, len(v.fields))
	for i := range v.fields {
		member := &v.fields[i]
		name := join(path, member.name)
		index, ok := known[member.name]
		switch {
		case !ok:
			f.positions.offsets[name] = member.offset
			f.positions.Add(f.findings, name, "unknown field")
		case seen[member.name]:
			f.positions.offsets[name] = member.offset
			f.positions.Add(f.findings, name, "repeated field")
		default:
			seen[member.name] = true
			f.fill(&member.value, name, into.Field(index))
		}
	}
}

func (f *filler) fillSlice(v *value, path string, into reflect.Value) {
	if v.kind != kindArray {
		f.wrongType(v, path, "an array")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(v.items), len(v.items))
	for i := range v.items {
		f.fill(&v.items[i], path+"["+strconv.Itoa(i)+"]", items.Index(i))
	}
	into.Set(items)
}

func (f *filler) fillScalar(v *value, path string, into reflect.Value) {
	expected := expectation(into.Kind())
	if v.kind != kindScalar {
		f.wrongType(v, path, expected)
		return
	}
	text, err := json.Marshal(v.scalar)
	if err == nil {
		err = json.Unmarshal(text, into.Addr().Interface())
	}
	if err != nil {
		f.wrongType(v, path, expected)
	}
}

func (f *filler) wrongType(v *value, path, expected string) {
	f.positions.Add(f.findings, path, "must be %s, got %s", expected, v.describe())
}

// expectation describes the JSON value that fits a kind of Go value.
func expectation(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}

// fieldsOf returns the index of each field by its JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
