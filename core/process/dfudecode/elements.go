package dfudecode

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

var errNoArray = errors.New("must be a JSON array")

// Elements splits a JSON array into the texts of its elements, without decoding them: one
// that is invalid, or nested too deeply for a decoder, leaves the others usable. It returns
// an error if the text is no array whose brackets match.
func Elements(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errNoArray
	}
	inner := data[1 : len(data)-1]
	if len(bytes.TrimSpace(inner)) == 0 {
		return nil, nil
	}
	var elements [][]byte
	depth, start, inString := 0, 0, false
	for i := 0; i < len(inner); i++ {
		switch b := inner[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			if depth--; depth < 0 {
				return nil, errNoArray
			}
		case b == ',' && depth == 0:
			elements = append(elements, bytes.TrimSpace(inner[start:i]))
			start = i + 1
		}
	}
	if depth != 0 || inString {
		return nil, errNoArray
	}
	return append(elements, bytes.TrimSpace(inner[start:])), nil
}
