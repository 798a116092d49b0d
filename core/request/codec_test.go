package request_test

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// eventTypes maps the names of events in scripts to their types.
type eventTypes map[string]reflect.Type

func newEventTypes[T any](zeros ...T) eventTypes {
	t := make(eventTypes)
	for _, zero := range zeros {
		t[snakeCase(reflect.TypeOf(zero).Name())] = reflect.TypeOf(zero)
	}
	return t
}

// parse parses an event such as "offer id=shop/1 idempotent remaining=100", split at blanks.
func (t eventTypes) parse(words []string) (any, error) {
	typ, ok := t[words[0]]
	if !ok {
		return nil, errors.Newf("unknown event %q", words[0])
	}
	event := reflect.New(typ).Elem()
	for _, word := range words[1:] {
		name, value, found := strings.Cut(word, "=")
		if !found {
			value = "true"
		}
		field := event.FieldByNameFunc(func(s string) bool { return snakeCase(s) == name })
		if !field.IsValid() {
			return nil, errors.Newf("event %s has no field %q", words[0], name)
		}
		if err := setValue(field, value); err != nil {
			return nil, errors.Wrapf(err, "%s", word)
		}
	}
	return event.Interface(), nil
}

func setValue(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case dfuident.RequestID:
		entry, sequence, _ := strings.Cut(text, "/")
		n, err := strconv.ParseUint(sequence, 10, 64)
		field.Set(reflect.ValueOf(dfuident.RequestID{Entry: member(entry), Sequence: n}))
		return err
	case dfuident.Member:
		field.Set(reflect.ValueOf(member(text)))
		return nil
	}
	return setKind(field, text)
}

func setKind(field reflect.Value, text string) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		field.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		field.SetInt(n)
		return err
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		field.SetUint(n)
		return err
	case reflect.Slice:
		for part := range strings.SplitSeq(text, ",") {
			item := reflect.New(field.Type().Elem()).Elem()
			if err := setValue(item, part); err != nil {
				return err
			}
			field.Set(reflect.Append(field, item))
		}
	case reflect.Struct:
		return setStruct(field, text)
	case reflect.Pointer:
		field.Set(reflect.New(field.Type().Elem()))
		return setStruct(field.Elem(), text)
	default:
		return errors.Newf("unsupported field type %s", field.Type())
	}
	return nil
}

// setStruct sets the fields in order of declaration from a text such as "a:b:c".
func setStruct(field reflect.Value, text string) error {
	for i, part := range strings.Split(text, ":") {
		if err := setValue(field.Field(i), part); err != nil {
			return err
		}
	}
	return nil
}

// member parses "node@incarnation". The incarnation defaults to 1.
func member(text string) dfuident.Member {
	node, incarnation, found := strings.Cut(text, "@")
	n, err := strconv.ParseUint(incarnation, 10, 64)
	if !found || err != nil {
		n = 1
	}
	return dfuident.Member{Node: dfuident.NodeID(node), Incarnation: dfuident.Incarnation(n)}
}

// format formats an action on one line. It omits fields with the zero value, and the
// incarnation 1.
func format(action any) string {
	v := reflect.ValueOf(action)
	line := snakeCase(v.Type().Name())
	for i := range v.NumField() {
		f := v.Field(i)
		if f.Kind() == reflect.Pointer && !f.IsNil() {
			f = f.Elem()
		}
		if !f.IsZero() {
			line += fmt.Sprintf(" %s=%v", snakeCase(v.Type().Field(i).Name), f.Interface())
		}
	}
	return firstIncarnation.ReplaceAllString(line, "")
}

var firstIncarnation = regexp.MustCompile(`@1\b`)

// snakeCase converts "RunOnTarget" to "run_on_target" and "ID" to "id".
func snakeCase(name string) string {
	var b strings.Builder
	for i, c := range name {
		upper := c >= 'A' && c <= 'Z'
		if upper && i > 0 && (name[i-1] < 'A' || name[i-1] > 'Z') {
			b.WriteByte('_')
		}
		b.WriteRune(c)
	}
	return strings.ToLower(b.String())
}
