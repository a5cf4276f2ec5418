package sheet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// randomPatch returns a patch that changes, adds, removes or renames members, changes other keys, or
// is invalid.
func randomPatch(t *rapid.T) string {
	name := fmt.Sprint("e", rapid.IntRange(1, 4).Draw(t, "engine"))
	engine := fmt.Sprintf(`{"zone": "z<%d>", "driver": "d", "address": "127.0.0.1:%d", "checks_fence": true}`,
		rapid.IntRange(0, 9).Draw(t, "zone"), rapid.IntRange(7000, 7003).Draw(t, "port"))
	return rapid.SampledFrom([]string{
		fmt.Sprintf(`{"engines": {%q: %s}}`, name, engine),
		fmt.Sprintf(`{"engines": {%q: null}}`, name),
		fmt.Sprintf(`{"engines": {%q: {"withdrawn": %v}}}`, name, rapid.Bool().Draw(t, "withdrawn")),
		fmt.Sprintf(`{"engines": {%q: {"name": "renamed"}}}`, name),
		fmt.Sprintf(`{"engines": {%q: {"nonsense": 1}}}`, name),
		fmt.Sprintf(`{"engines": {%q: {"options": {"a": "é\u0007"}}}, "pools": {"labels": {"engines": [%q]}}}`, name, name),
		`{"pools": {"labels": {"roles": {"min_prefill": 0, "change_price": 2.50}}}}`,
		`{"pools": {"labels": {"max_away_share": 0.7}}}`,
		`{"note": "x", "classes": {"draft": {"priority": 3}}}`,
		`{"classes": {"second": {"priority": 1, "deadline": "8s", "first_token": "1s", "between_tokens": "39ms", "objective": 0.9}}}`,
		`{"services": null}`, `{"services": {"print": null}}`, `{"engines": []}`, `[]`, `{"engines": {"e1": 7}}`,
	}).Draw(t, "patch")
}

// Guards against VMs that serve different sheets: one process has applied every patch since it
// started, another starts from a checkpoint and decodes the whole sheet. Both must get the same bytes
// and accept the same patches.
func TestPatchingMembersEqualsPatchingWholeSheet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := Parse("sheet", []byte(validSheet))
		assert.NilError(t, err)
		incremental := NewDocument([]byte(validSheet), s)
		for range rapid.IntRange(1, 12).Draw(t, "patches") {
			patch := []byte(randomPatch(t))
			fresh := NewDocument(incremental.Body(), incremental.Sheet())
			want, wantErr := fresh.Patch(patch)
			got, gotErr := incremental.Patch(patch)
			assert.Equal(t, fmt.Sprint(gotErr), fmt.Sprint(wantErr))
			if gotErr != nil {
				continue
			}
			assert.Equal(t, string(got.Body()), string(want.Body()))
			assert.DeepEqual(t, got.Sheet(), want.Sheet())
			whole, err := Parse("sheet", got.Body())
			assert.NilError(t, err)
			assert.DeepEqual(t, got.Sheet(), whole)
			incremental = got
		}
	})
}
