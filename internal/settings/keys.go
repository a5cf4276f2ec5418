package settings

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Keys returns the path of every key that a value of v's type may have, such
// as pools[].name. The documentation of a file is checked against it.
func Keys(v any) []string {
	var keys []string
	collectKeys(reflect.TypeOf(v), "", &keys)
	slices.Sort(keys)
	return keys
}

func collectKeys(t reflect.Type, path string, keys *[]string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case reflect.PointerTo(t).Implements(textUnmarshaler) || t == reflect.TypeFor[json.RawMessage]():
	case t.Kind() == reflect.Slice:
		collectKeys(t.Elem(), path+"[]", keys)
	case t.Kind() == reflect.Struct:
		fields, names := fieldsOf(t)
		for _, n := range names {
			at := join(path, n)
			*keys = append(*keys, at)
			collectKeys(fields[n], at, keys)
		}
	}
}
