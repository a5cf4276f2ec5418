package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"fescuestand/internal/settings"
)

// Document is an accepted sheet held so that a patch costs what it changes and
// not what the sheet holds: at the design size eleven thousand patches a day
// against a sheet of thousands of engines would take a process's whole budget
// if each were decoded anew. A Document is immutable.
//
// It never decides for itself that a patch is refused, and gives the same
// bytes and sheet as ApplyPatch and Parse, which it falls back to.
type Document struct {
	body  []byte
	sheet *Sheet
	keys  map[string]json.RawMessage // nil until body has been encoded by ApplyPatch
	lists map[string][]member
}

// member is one named member of a list, in its canonical encoding.
type member struct {
	name string
	raw  json.RawMessage
}

// lists are the keys whose members are patched by name.
var listKeys = []string{"classes", "engines", "pools", "services"}

// NewDocument returns the document of an accepted sheet.
func NewDocument(body []byte, s *Sheet) *Document { return &Document{body: body, sheet: s} }

// Body returns the sheet's text.
func (d *Document) Body() []byte { return d.body }

// Sheet returns the decoded sheet.
func (d *Document) Sheet() *Sheet { return d.sheet }

// PatchError wraps what is wrong with a patch itself.
type PatchError struct{ Err error }

// Error implements error.
func (e *PatchError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error { return e.Err }

// Patch returns the document changed by a patch; see ApplyPatch. The error is
// an *ErrPatch, or a *settings.Problems if the result is no valid sheet.
func (d *Document) Patch(patch []byte) (*Document, error) {
	if next := d.patchMembers(patch); next != nil {
		return next, nil
	}
	body, err := ApplyPatch(d.body, patch)
	if err != nil {
		return nil, &PatchError{err}
	}
	s, err := Parse("sheet", body)
	if err != nil {
		return nil, err
	}
	next := &Document{body: body, sheet: s}
	next.index()
	return next, nil
}

// index splits a canonical body into its members.
func (d *Document) index() {
	keys, lists := map[string]json.RawMessage{}, map[string][]member{}
	if json.Unmarshal(d.body, &keys) != nil {
		return
	}
	for _, key := range listKeys {
		var raws []json.RawMessage
		if keys[key] == nil || json.Unmarshal(keys[key], &raws) != nil {
			continue
		}
		list := make([]member, len(raws))
		for i, raw := range raws {
			var named struct {
				Name string `json:"name"`
			}
			if json.Unmarshal(raw, &named) != nil || named.Name == "" {
				return
			}
			list[i] = member{named.Name, raw}
		}
		lists[key] = list
	}
	d.keys, d.lists = keys, lists
}

// patchMembers is Patch for a patch that changes nothing but named members and
// whose result is valid, and nil for every other.
func (d *Document) patchMembers(patch []byte) *Document {
	change, err := parseLoose(patch)
	top, ok := change.(map[string]any)
	if err != nil || !ok || d.keys == nil {
		return nil
	}
	next := &Document{keys: maps.Clone(d.keys), lists: maps.Clone(d.lists)}
	s := *d.sheet
	for key, v := range top {
		members, ok := v.(map[string]any)
		list, known := d.lists[key]
		if !ok || !known {
			return nil
		}
		merged, err := mergeMembers(list, members)
		if err != nil || replaceList(&s, key, merged) != nil {
			return nil
		}
		next.lists[key] = merged.members
		next.keys[key] = encodeList(merged.members)
	}
	var p settings.Problems
	if s.Validate(&p); len(p.List) > 0 {
		return nil
	}
	next.sheet = &s
	next.body = encodeKeys(next.keys)
	return next
}

// mergedList is a list after a patch. from holds each member's index in the
// list before, -1 if it was changed or added.
type mergedList struct {
	members []member
	from    []int
}

func mergeMembers(list []member, change map[string]any) (*mergedList, error) {
	out := &mergedList{}
	done := map[string]bool{}
	for i, m := range list {
		v, changed := change[m.name]
		done[m.name] = true
		switch {
		case !changed:
			out.add(m, i)
		case v != nil:
			target, err := parseLoose(m.raw)
			if err != nil {
				return nil, err
			}
			if err := out.encode(m.name, merge(target, v)); err != nil {
				return nil, err
			}
		}
	}
	for _, name := range sortedKeys(change) {
		if !done[name] && change[name] != nil {
			if err := out.encode(name, merge(nil, change[name])); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func (l *mergedList) add(m member, from int) {
	l.members, l.from = append(l.members, m), append(l.from, from)
}

func (l *mergedList) encode(name string, v any) error {
	v = named(v, name)
	if nameOf(v) != name {
		return fmt.Errorf("member %q is renamed", name)
	}
	raw, err := encode(v)
	l.add(member{name, raw}, -1)
	return err
}

// replaceList puts the merged list into a sheet, decoding what has changed as
// strictly as a whole sheet.
func replaceList(s *Sheet, key string, l *mergedList) (err error) {
	switch key {
	case "engines":
		s.Engines, err = rebuild(s.Engines, l)
	case "pools":
		s.Pools, err = rebuild(s.Pools, l)
	case "services":
		s.Services, err = rebuild(s.Services, l)
	case "classes":
		s.Classes, err = rebuild(s.Classes, l)
	}
	return err
}

func rebuild[T any](old []T, l *mergedList) ([]T, error) {
	out := make([]T, len(l.members))
	for i, from := range l.from {
		if from >= 0 {
			out[i] = old[from]
			continue
		}
		if err := settings.Decode("sheet", l.members[i].raw, &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func encodeList(list []member) json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('[')
	for i, m := range list {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(m.raw)
	}
	out.WriteByte(']')
	return out.Bytes()
}

func encodeKeys(keys map[string]json.RawMessage) []byte {
	var out bytes.Buffer
	for i, key := range slices.Sorted(maps.Keys(keys)) {
		if i > 0 {
			out.WriteByte(',')
		} else {
			out.WriteByte('{')
		}
		name, _ := encode(key)
		out.Write(name)
		out.WriteByte(':')
		out.Write(keys[key])
	}
	out.WriteByte('}')
	return out.Bytes()
}

// encode gives a value's canonical text: keys in order, no spaces.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimRight(out.Bytes(), "\n"), nil
}
