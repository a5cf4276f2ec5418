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

func typeOf(v any) reflect.Type { return reflect.TypeOf(v).Elem() }

// walk compares one value of the file with the Go type that it is for, and
// remembers where each path stands.
func (p *Problems) walk(v hujson.Value, t reflect.Type, path string) {
	p.place[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		p.walkText(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		p.walkStruct(v, t, path)
	case reflect.Map:
		p.walkMap(v, t, path)
	case reflect.Slice:
		if t == reflect.TypeFor[json.RawMessage]() {
			return
		}
		p.walkSlice(v, t, path)
	default:
		p.walkLiteral(v, t, path)
	}
}

func (p *Problems) walkText(v hujson.Value, t reflect.Type, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: a string", kindOf(v))
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(lit.String())); err != nil {
		p.addAt(v.StartOffset, path, code.BadSettings, "%v", err)
	}
}

func (p *Problems) walkStruct(v hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: an object", kindOf(v))
		return
	}
	fields, names := fieldsOf(t)
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			p.addAt(m.Name.StartOffset, at, code.UnknownSetting, "unknown key; allowed: %s", strings.Join(names, ", "))
		case seen[name]:
			p.addAt(m.Name.StartOffset, at, code.DuplicateName, "stands twice")
		default:
			p.walk(m.Value, field, at)
		}
		seen[name] = true
	}
}

func (p *Problems) walkMap(v hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: an object", kindOf(v))
		return
	}
	for _, m := range obj.Members {
		p.walk(m.Value, t.Elem(), join(path, m.Name.Value.(hujson.Literal).String()))
	}
}

func (p *Problems) walkSlice(v hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: an array", kindOf(v))
		return
	}
	for i, e := range arr.Elements {
		p.walk(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *Problems) walkLiteral(v hujson.Value, t reflect.Type, path string) {
	want := literalFor(t.Kind())
	lit, ok := v.Value.(hujson.Literal)
	if !ok || kindOf(v) != want {
		p.addAt(v.StartOffset, path, code.BadSettings, "is %s; allowed: %s", kindOf(v), want)
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		p.addAt(v.StartOffset, path, code.BadSettings, "%s does not fit %s", lit, t)
	}
}

func literalFor(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a number"
	}
}

func kindOf(v hujson.Value) string {
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

// fieldsOf returns the JSON keys of a struct, embedded structs included.
func fieldsOf(t reflect.Type) (map[string]reflect.Type, []string) {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" {
			inner, _ := fieldsOf(f.Type)
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
