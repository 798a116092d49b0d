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

// Positions maps the JSON paths of a decoded text to the positions of their
// values.
type Positions struct {
	file    string
	data    []byte
	offsets map[string]int
	// reportedPaths holds the paths that have a finding. Further findings about
	// the same value are dropped, since they would only be consequences of the
	// first.
	reportedPaths map[string]bool
}

// Strict decodes data into the struct that into points to. It adds a finding
// for a syntax error, for each unknown or repeated field and for each value of
// the wrong type. Fields that are missing or null keep their value, so defaults
// can be set beforehand.
//
// File is the file name used in findings. If it is empty, the place of a
// finding is its JSON path instead of "file:line:col".
func Strict(file string, data []byte, into any, findings *dfufinding.List) *Positions {
	p := &Positions{file: file, data: data, offsets: make(map[string]int), reportedPaths: make(map[string]bool)}
	root, offset, err := newParser(data).parse()
	if err != nil {
		findings.Add(p.place(offset, ""), "%s", err.Error())
		return p
	}
	d := structDecoder{positions: p, findings: findings}
	d.decode(&root, "", reflect.ValueOf(into).Elem())
	return p
}

// Parsed reports whether the data was syntactically valid JSON.
func (p *Positions) Parsed() bool {
	return len(p.offsets) > 0
}

// Add adds a finding about the value at a JSON path. If the value is missing,
// the finding refers to the object that should contain it.
func (p *Positions) Add(findings *dfufinding.List, path, format string, args ...any) {
	if p.reportedPaths[path] {
		return
	}
	if p.reportedPaths != nil {
		p.reportedPaths[path] = true
	}
	message := fmt.Sprintf(format, args...)
	if p.file != "" && path != "" {
		message = path + ": " + message
	}
	findings.Add(p.place(p.offset(path), path), "%s", message)
}

// offset returns the offset of the value at the path, or of its innermost
// enclosing value that is present.
func (p *Positions) offset(path string) int {
	for path != "" {
		if offset, ok := p.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return p.offsets[""]
}

// place returns the place of a finding about the value at an offset:
// "file:line:col", or the path if there is no file name.
func (p *Positions) place(offset int, path string) string {
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

// structDecoder assigns a tree of JSON values to Go values.
type structDecoder struct {
	positions *Positions
	findings  *dfufinding.List
}

func (d *structDecoder) decode(v *value, path string, into reflect.Value) {
	d.positions.offsets[path] = v.offset
	if v.kind == kindScalar && v.scalar == nil {
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, path, into)
	case reflect.Slice:
		d.decodeSlice(v, path, into)
	default:
		d.decodeScalar(v, path, into)
	}
}

func (d *structDecoder) decodeStruct(v *value, path string, into reflect.Value) {
	if v.kind != kindObject {
		d.addTypeError(v, path, "an object")
		return
	}
	known := fieldsOf(into.Type())
	seen := make(map[string]bool, len(v.fields))
	for i := range v.fields {
		member := &v.fields[i]
		name := joinPath(path, member.name)
		index, ok := known[member.name]
		switch {
		case !ok:
			d.positions.offsets[name] = member.offset
			d.positions.Add(d.findings, name, "unknown field")
		case seen[member.name]:
			d.positions.offsets[name] = member.offset
			d.positions.Add(d.findings, name, "repeated field")
		default:
			seen[member.name] = true
			d.decode(&member.value, name, into.Field(index))
		}
	}
}

func (d *structDecoder) decodeSlice(v *value, path string, into reflect.Value) {
	if v.kind != kindArray {
		d.addTypeError(v, path, "an array")
		return
	}
	items := reflect.MakeSlice(into.Type(), len(v.items), len(v.items))
	for i := range v.items {
		d.decode(&v.items[i], path+"["+strconv.Itoa(i)+"]", items.Index(i))
	}
	into.Set(items)
}

func (d *structDecoder) decodeScalar(v *value, path string, into reflect.Value) {
	expected := expectedValue(into.Kind())
	if v.kind != kindScalar {
		d.addTypeError(v, path, expected)
		return
	}
	text, err := json.Marshal(v.scalar)
	if err == nil {
		err = json.Unmarshal(text, into.Addr().Interface())
	}
	if err != nil {
		d.addTypeError(v, path, expected)
	}
}

func (d *structDecoder) addTypeError(v *value, path, expected string) {
	d.positions.Add(d.findings, path, "must be %s, got %s", expected, v.describe())
}

// expectedValue describes the JSON values that can be decoded into a kind of Go
// value.
func expectedValue(k reflect.Kind) string {
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

// fieldsOf returns the index of each field of a struct by its JSON name.
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
