package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"fescuestand/internal/code"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func pointedType(v any) reflect.Type { return reflect.TypeOf(v).Elem() }

// checkValue checks one value of the file against the Go type that it is decoded into, and records
// the byte offset of its path.
func (p *Problems) checkValue(v hujson.Value, t reflect.Type, path string) {
	p.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		p.checkText(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		p.checkStruct(v, t, path)
	case reflect.Map:
		p.checkMap(v, t, path)
	case reflect.Slice:
		if t == reflect.TypeFor[json.RawMessage]() {
			return
		}
		p.checkSlice(v, t, path)
	default:
		p.checkLiteral(v, t, path)
	}
}

func (p *Problems) checkText(v hujson.Value, t reflect.Type, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: a string", describeKind(v))
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(lit.String())); err != nil {
		p.addAt(v.StartOffset, path, code.BadSettings, "%v", err)
	}
}

func (p *Problems) checkStruct(v hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: an object", describeKind(v))
		return
	}
	fields, names := jsonFields(t)
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		keyPath := joinPath(path, name)
		field, exists := fields[name]
		switch {
		case !exists:
			p.addAt(m.Name.StartOffset, keyPath, code.UnknownSetting, "unknown key; allowed: %s", strings.Join(names, ", "))
		case seen[name]:
			p.addAt(m.Name.StartOffset, keyPath, code.DuplicateName, "stands twice")
		default:
			p.checkValue(m.Value, field, keyPath)
		}
		seen[name] = true
	}
}

func (p *Problems) checkMap(v hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: an object", describeKind(v))
		return
	}
	for _, m := range obj.Members {
		p.checkValue(m.Value, t.Elem(), joinPath(path, m.Name.Value.(hujson.Literal).String()))
	}
}

func (p *Problems) checkSlice(v hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: an array", describeKind(v))
		return
	}
	for i, e := range arr.Elements {
		p.checkValue(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *Problems) checkLiteral(v hujson.Value, t reflect.Type, path string) {
	expected := expectedLiteral(t.Kind())
	lit, ok := v.Value.(hujson.Literal)
	if !ok || describeKind(v) != expected {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: %s", describeKind(v), expected)
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		p.addAt(v.StartOffset, path, code.BadSettings, "%s does not fit %s", lit, t)
	}
}

// expectedLiteral describes the JSON literal that a Go kind is decoded from.
func expectedLiteral(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a number"
	}
}

// describeKind describes the JSON type of a value for a problem's text.
func describeKind(v hujson.Value) string {
	switch val := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		switch val.Kind() {
		case '"':
			return "a string"
		case 't', 'f':
			return "true or false"
		case 'n':
			return "null"
		}
	}
	return "a number"
}

// jsonFields returns the types of a struct's fields by JSON key, embedded structs included, and the
// sorted keys.
func jsonFields(t reflect.Type) (map[string]reflect.Type, []string) {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" {
			inner, _ := jsonFields(f.Type)
			for k, v := range inner {
				fields[k] = v
			}
			continue
		}
		if f.IsExported() && name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	names := make([]string, 0, len(fields))
	for n := range fields {
		names = append(names, n)
	}
	slices.Sort(names)
	return fields, names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
