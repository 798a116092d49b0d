package dfudecode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxDepth limits the nesting of objects and arrays.
const maxDepth = 32

// value is a JSON value with its offset in the text.
type value struct {
	offset int
	// scalar is a string, bool, json.Number or nil. It is not used for objects
	// and arrays.
	scalar json.Token
	kind   kind
	fields []field
	items  []value
}

// field is a member of an object.
type field struct {
	name   string
	offset int
	value  value
}

type kind int

const (
	kindScalar kind = iota
	kindObject
	kindArray
)

// describe returns the value as findings print it, for example `the number 3`.
func (v *value) describe() string {
	switch v.kind {
	case kindObject:
		return "an object"
	case kindArray:
		return "an array"
	case kindScalar:
	}
	switch s := v.scalar.(type) {
	case string:
		return fmt.Sprintf("the string %q", s)
	case json.Number:
		return "the number " + s.String()
	case bool:
		return fmt.Sprintf("%t", s)
	default:
		return "null"
	}
}

// parser parses a JSON text into a tree of values.
type parser struct {
	data    []byte
	decoder *json.Decoder
}

func newParser(data []byte) *parser {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return &parser{data: data, decoder: decoder}
}

// parse parses the text, which must contain a single value. In case of an error
// it also returns the offset of the error.
func (p *parser) parse() (value, int, error) {
	root, err := p.value(0)
	if err != nil {
		return value{}, p.errorOffset(err), err
	}
	if rest := p.next(); rest < len(p.data) {
		return value{}, rest, errors.New("unexpected text after the value")
	}
	return root, 0, nil
}

// errorOffset returns the offset in the text at which parsing failed.
func (p *parser) errorOffset(err error) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 {
		return min(int(syntax.Offset)-1, len(p.data))
	}
	return p.next()
}

// next returns the offset of the next token.
func (p *parser) next() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.data) && strings.IndexByte(" \t\r\n,:", p.data[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *parser) value(depth int) (value, error) {
	v := value{offset: p.next()}
	if depth > maxDepth {
		return v, errors.Newf("nested deeper than %d", maxDepth)
	}
	token, err := p.token()
	if err != nil {
		return v, err
	}
	switch token {
	case json.Delim('{'):
		v.kind = kindObject
		return v, p.object(&v, depth)
	case json.Delim('['):
		v.kind = kindArray
		return v, p.array(&v, depth)
	}
	v.scalar = token
	return v, nil
}

func (p *parser) token() (json.Token, error) {
	token, err := p.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected end of text")
	}
	return token, err
}

func (p *parser) object(v *value, depth int) error {
	for p.decoder.More() {
		f := field{offset: p.next()}
		token, err := p.token()
		if err != nil {
			return err
		}
		f.name, _ = token.(string)
		if f.value, err = p.value(depth + 1); err != nil {
			return err
		}
		v.fields = append(v.fields, f)
	}
	_, err := p.token()
	return err
}

func (p *parser) array(v *value, depth int) error {
	for p.decoder.More() {
		item, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		v.items = append(v.items, item)
	}
	_, err := p.token()
	return err
}
