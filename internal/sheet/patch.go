package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"
)

// ApplyPatch applies an RFC 7396 merge patch to base and returns the result.
//
// The RFC can only replace an array as a whole. ApplyPatch adds one rule: an object in the patch
// whose target is an array of named objects changes the members by name. A null value removes the
// member, and members with new names are appended in the order of their names. A patch of one engine
// among thousands thus takes about a hundred bytes. The result depends only on the two texts, so
// every node computes the same bytes.
func ApplyPatch(base, patch []byte) ([]byte, error) {
	target, err := parseJSONC(base)
	if err != nil {
		return nil, fmt.Errorf("base: %w", err)
	}
	change, err := parseJSONC(patch)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	if _, ok := change.(map[string]any); !ok {
		return nil, fmt.Errorf("patch: is not an object")
	}
	out, err := encodeCanonical(merge(target, change))
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	return out, nil
}

// parseJSONC parses JSON with comments. It keeps numbers in their written form, as a float64 would
// round large integers.
func parseJSONC(src []byte) (any, error) {
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

// merge implements MergePatch of RFC 7396 with the rule for named members.
func merge(target, patch any) any {
	change, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	if list, ok := target.([]any); ok && allNamed(list) {
		return mergeNamedMembers(list, change)
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

func mergeNamedMembers(list []any, change map[string]any) []any {
	out := make([]any, 0, len(list)+len(change))
	existing := map[string]bool{}
	for _, member := range list {
		name := memberName(member)
		v, changed := change[name]
		existing[name] = true
		switch {
		case !changed:
			out = append(out, member)
		case v != nil:
			out = append(out, withName(merge(member, v), name))
		}
	}
	added := make([]string, 0, len(change))
	for name, v := range change {
		if !existing[name] && v != nil {
			added = append(added, name)
		}
	}
	slices.Sort(added)
	for _, name := range added {
		out = append(out, withName(merge(nil, change[name]), name))
	}
	return out
}

// withName sets a member's name if the member has none, since a patch gives the name of a new member
// only as the key.
func withName(member any, name string) any {
	if obj, ok := member.(map[string]any); ok {
		if _, has := obj["name"]; !has {
			obj["name"] = name
		}
	}
	return member
}

func allNamed(list []any) bool {
	for _, member := range list {
		if memberName(member) == "" {
			return false
		}
	}
	return true
}

func memberName(member any) string {
	obj, _ := member.(map[string]any)
	name, _ := obj["name"].(string)
	return name
}
