package settings

import (
	"encoding/json"
	"reflect"
	"slices"
)

// Keys returns the sorted paths of all keys that the type of v accepts, such as pools[].name. A test
// compares them with the documentation of the file.
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
		fields, names := jsonFields(t)
		for _, n := range names {
			keyPath := joinPath(path, n)
			*keys = append(*keys, keyPath)
			collectKeys(fields[n], keyPath, keys)
		}
	}
}
