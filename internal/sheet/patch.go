package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"
)

// ApplyPatch returns base changed by an RFC 7396 merge patch.
//
// One rule is added to the RFC, whose arrays can only be replaced whole: an
// object laid over an array of named objects changes the members by name, null
// removes one, and new names are appended in order. One engine of thousands
// changes in a hundred bytes that way. The result depends on nothing but the
// two texts, so that every node computes the same bytes.
func ApplyPatch(base, patch []byte) ([]byte, error) {
	target, err := parseLoose(base)
	if err != nil {
		return nil, fmt.Errorf("base: %w", err)
	}
	change, err := parseLoose(patch)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	if _, ok := change.(map[string]any); !ok {
		return nil, fmt.Errorf("patch: is not an object")
	}
	out, err := encode(merge(target, change))
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	return out, nil
}

// parseLoose parses JSON with comments, keeping numbers as they are written.
func parseLoose(src []byte) (any, error) {
	std, err := hujson.Standardize(bytes.Clone(src))
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.UseNumber()
	var v any
	err = dec.Decode(&v)
	return v, err
}

func merge(target, patch any) any {
	change, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	if list, ok := target.([]any); ok && allNamed(list) {
		return mergeNamed(list, change)
	}
	obj, ok := target.(map[string]any)
	if !ok {
		obj = map[string]any{}
	}
	for k, v := range change {
		if v == nil {
			delete(obj, k)
			continue
		}
		obj[k] = merge(obj[k], v)
	}
	return obj
}

func mergeNamed(list []any, change map[string]any) []any {
	out := make([]any, 0, len(list)+len(change))
	done := map[string]bool{}
	for _, member := range list {
		name := nameOf(member)
		v, changed := change[name]
		done[name] = true
		switch {
		case !changed:
			out = append(out, member)
		case v != nil:
			out = append(out, named(merge(member, v), name))
		}
	}
	added := make([]string, 0, len(change))
	for name, v := range change {
		if !done[name] && v != nil {
			added = append(added, name)
		}
	}
	slices.Sort(added)
	for _, name := range added {
		out = append(out, named(merge(nil, change[name]), name))
	}
	return out
}

// named gives a member its name, which a patch states as the key only.
func named(member any, name string) any {
	if obj, ok := member.(map[string]any); ok {
		if _, has := obj["name"]; !has {
			obj["name"] = name
		}
	}
	return member
}

func allNamed(list []any) bool {
	for _, member := range list {
		if nameOf(member) == "" {
			return false
		}
	}
	return true
}

func nameOf(member any) string {
	obj, _ := member.(map[string]any)
	name, _ := obj["name"].(string)
	return name
}
