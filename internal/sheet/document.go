package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"fescuestand/internal/settings"
)

// Document is an accepted sheet, kept both decoded and as encoded list members, so that the cost of
// a patch grows with the patch and not with the sheet. The design size is eleven thousand patches a
// day to a sheet of thousands of engines; decoding the whole sheet for each of them would use up a
// process's CPU budget. A Document is immutable.
//
// Patch gives the same bytes and the same sheet as ApplyPatch followed by Parse. Its fast path
// never rejects a patch: whenever it can't apply one, Patch falls back to these two functions.
type Document struct {
	body  []byte
	sheet *Sheet
	keys  map[string]json.RawMessage // top-level keys of body; nil until ApplyPatch has encoded body
	lists map[string][]member        // by key, the lists in listKeys that body contains
}

// member is one named member of a list, in its canonical encoding.
type member struct {
	name string
	raw  json.RawMessage
}

// listKeys are the top-level keys whose value is a list that patches change by member name.
var listKeys = []string{"classes", "engines", "pools", "services"}

// NewDocument returns the document of an accepted sheet.
func NewDocument(body []byte, s *Sheet) *Document { return &Document{body: body, sheet: s} }

// Body returns the encoded sheet.
func (d *Document) Body() []byte { return d.body }

// Sheet returns the decoded sheet.
func (d *Document) Sheet() *Sheet { return d.sheet }

// PatchError reports a patch that can't be applied, as opposed to one whose result is not a valid
// sheet.
type PatchError struct{ Err error }

// Error implements error.
func (e *PatchError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error { return e.Err }

// Patch returns a new document with the patch applied; see ApplyPatch. The error is a *PatchError,
// or a *settings.Problems if the result is not a valid sheet.
func (d *Document) Patch(patch []byte) (*Document, error) {
	if next := d.patchNamedMembers(patch); next != nil {
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

// index splits a canonical body into its top-level keys and list members. It leaves the document
// without an index if a list has a member without a name, which disables the fast path of Patch.
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

// patchNamedMembers is the fast path of Patch. It returns nil unless the patch changes only named
// list members and the result is a valid sheet.
func (d *Document) patchNamedMembers(patch []byte) *Document {
	change, err := parseJSONC(patch)
	changedKeys, ok := change.(map[string]any)
	if err != nil || !ok || d.keys == nil {
		return nil
	}
	next := &Document{keys: maps.Clone(d.keys), lists: maps.Clone(d.lists)}
	s := *d.sheet
	for key, v := range changedKeys {
		members, ok := v.(map[string]any)
		list, indexed := d.lists[key]
		if !ok || !indexed {
			return nil
		}
		merged, err := mergeMembers(list, members)
		if err != nil || decodeList(&s, key, merged) != nil {
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

// mergedList is a list after a patch. oldIndex holds each member's index in the list before the
// patch, or -1 if the patch changed or added the member.
type mergedList struct {
	members  []member
	oldIndex []int
}

// mergeMembers applies a patch to a list as mergeNamedMembers does, but decodes only the members
// that the patch changes.
func mergeMembers(list []member, change map[string]any) (*mergedList, error) {
	out := &mergedList{}
	existing := map[string]bool{}
	for i, m := range list {
		v, changed := change[m.name]
		existing[m.name] = true
		switch {
		case !changed:
			out.add(m, i)
		case v != nil:
			target, err := parseJSONC(m.raw)
			if err != nil {
				return nil, err
			}
			if err := out.encode(m.name, merge(target, v)); err != nil {
				return nil, err
			}
		}
	}
	for _, name := range sortedKeys(change) {
		if !existing[name] && change[name] != nil {
			if err := out.encode(name, merge(nil, change[name])); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func (l *mergedList) add(m member, oldIndex int) {
	l.members, l.oldIndex = append(l.members, m), append(l.oldIndex, oldIndex)
}

// encode adds a changed or new member in its canonical encoding. It returns an error if the
// patch renames the member, which the fast path does not support.
func (l *mergedList) encode(name string, v any) error {
	v = withName(v, name)
	if memberName(v) != name {
		return fmt.Errorf("patch renames member %q", name)
	}
	raw, err := encodeCanonical(v)
	l.add(member{name, raw}, -1)
	return err
}

// decodeList stores the merged list in the sheet. It decodes the changed members as strictly as
// Parse does.
func decodeList(s *Sheet, key string, l *mergedList) (err error) {
	switch key {
	case "engines":
		s.Engines, err = decodeChanged(s.Engines, l)
	case "pools":
		s.Pools, err = decodeChanged(s.Pools, l)
	case "services":
		s.Services, err = decodeChanged(s.Services, l)
	case "classes":
		s.Classes, err = decodeChanged(s.Classes, l)
	}
	return err
}

// decodeChanged returns the merged list with unchanged members taken from old and the others decoded.
func decodeChanged[T any](old []T, l *mergedList) ([]T, error) {
	out := make([]T, len(l.members))
	for i, oldIndex := range l.oldIndex {
		if oldIndex >= 0 {
			out[i] = old[oldIndex]
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
		name, _ := encodeCanonical(key)
		out.Write(name)
		out.WriteByte(':')
		out.Write(keys[key])
	}
	out.WriteByte('}')
	return out.Bytes()
}

// encodeCanonical returns the canonical JSON of a value: keys sorted, no white space.
func encodeCanonical(v any) ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimRight(out.Bytes(), "\n"), nil
}
