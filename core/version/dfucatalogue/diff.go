package dfucatalogue

import (
	"encoding/json"
	"reflect"
	"strings"
)

// FieldChange describes one field that differs between two entries.
type FieldChange struct {
	// Path is the JSON path of the field, as in "limits.queue".
	Path string `json:"path"`
	// Before and After are the values as JSON.
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Diff returns the fields that differ between a and b, in the order of an
// entry's fields. A list counts as one field.
func Diff(a, b Entry) []FieldChange {
	var changes []FieldChange
	diff("", reflect.ValueOf(a), reflect.ValueOf(b), &changes)
	return changes
}

func diff(path string, a, b reflect.Value, changes *[]FieldChange) {
	if a.Kind() == reflect.Struct {
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			if path != "" {
				name = path + "." + name
			}
			diff(name, a.Field(i), b.Field(i), changes)
		}
		return
	}
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 || reflect.DeepEqual(a.Interface(), b.Interface()) {
		return
	}
	*changes = append(*changes, FieldChange{Path: path, Before: fieldJSON(a), After: fieldJSON(b)})
}

// fieldJSON returns the value of a field as JSON. All field types of an entry
// can be encoded.
func fieldJSON(v reflect.Value) json.RawMessage {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return json.RawMessage("[]")
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
