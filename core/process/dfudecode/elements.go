package dfudecode

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

var (
	errNoArray  = errors.New("must be a JSON array")
	errNoObject = errors.New("must be a JSON object")
)

// Elements splits a JSON array into the texts of its elements, without decoding them: one
// that is invalid, or nested too deeply for a decoder, leaves the others usable. It returns
// an error if the text is no array whose brackets and quotes match.
func Elements(data []byte) ([][]byte, error) {
	elements, ok := split(data, '[', ']')
	if !ok {
		return nil, errNoArray
	}
	return elements, nil
}

// Member is a value in an object with its name.
type Member struct {
	Name string
	Text []byte
}

// Members splits a JSON object into the texts of its values, in order, as Elements splits an
// array. A name may stand twice.
func Members(data []byte) ([]Member, error) {
	texts, ok := split(data, '{', '}')
	if !ok {
		return nil, errNoObject
	}
	members := make([]Member, 0, len(texts))
	for _, text := range texts {
		end := 1
		for end < len(text) && text[end] != '"' {
			if text[end] == '\\' {
				end++
			}
			end++
		}
		var name string
		if end >= len(text) || json.Unmarshal(text[:end+1], &name) != nil {
			return nil, errNoObject
		}
		value, found := bytes.CutPrefix(bytes.TrimSpace(text[end+1:]), []byte(":"))
		if !found {
			return nil, errNoObject
		}
		members = append(members, Member{Name: name, Text: bytes.TrimSpace(value)})
	}
	return members, nil
}

// split returns the texts between two brackets that are separated by commas. It returns false
// if the brackets in them don't match, or a string ends where none can: after a quote too many,
// what follows would count as the content of strings, and whole values would be missed.
func split(data []byte, first, last byte) ([][]byte, bool) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != first || data[len(data)-1] != last {
		return nil, false
	}
	inner := data[1 : len(data)-1]
	if len(bytes.TrimSpace(inner)) == 0 {
		return nil, true
	}
	var texts [][]byte
	var open []byte // the closing brackets of those that are open
	start, inString := 0, false
	for i := 0; i < len(inner); i++ {
		switch b := inner[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			if inString && !endsValue(inner[i+1:]) {
				return nil, false
			}
			inString = !inString
		case inString:
		case b == '[' || b == '{':
			open = append(open, b+2) // ']' and '}' in ASCII
		case b == ']' || b == '}':
			if len(open) == 0 || open[len(open)-1] != b {
				return nil, false
			}
			open = open[:len(open)-1]
		case b == ',' && len(open) == 0:
			texts = append(texts, bytes.TrimSpace(inner[start:i]))
			start = i + 1
		}
	}
	if len(open) > 0 || inString {
		return nil, false
	}
	return append(texts, bytes.TrimSpace(inner[start:])), true
}

// endsValue reports whether a string may end before the rest of a text.
func endsValue(rest []byte) bool {
	for _, b := range rest {
		switch b {
		case ' ', '\t', '\r', '\n':
		case ',', ':', ']', '}':
			return true
		default:
			return false
		}
	}
	return true
}
