package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
)

type testSettings struct {
	Name  string         `json:"name"`
	Wait  Duration       `json:"wait"`
	Items []item         `json:"items"`
	Extra map[string]int `json:"extra"`
}

type item struct {
	Port uint16 `json:"port"`
}

func (s *testSettings) Validate(p *Problems) {
	for i := range s.Items {
		if s.Items[i].Port == 0 {
			p.Add("items["+string(rune('0'+i))+"].port", code.MissingSetting, "is required")
		}
	}
}

func TestDecodeAcceptsCommentsAndTrailingCommas(t *testing.T) {
	var s testSettings
	err := Decode("f", []byte(`{
		// a comment
		"name": "x", "wait": "250ms", "items": [{"port": 9},], "extra": {"a": 1},
	}`), &s)
	assert.NilError(t, err)
	assert.Equal(t, s.Wait.D(), 250*time.Millisecond)
	assert.Equal(t, s.Items[0].Port, uint16(9))
}

func TestDecodeReportsEveryProblemWithItsPosition(t *testing.T) {
	var s testSettings
	err := Decode("f.jsonc", []byte("{\n\"nam\": 1,\n\"wait\": \"soon\",\n\"items\": [{\"port\": 70000}],\n\"extra\": []\n}"), &s)
	assert.Equal(t, err.Error(), strings.Join([]string{
		`f.jsonc:2:1: 5002 unknown-setting: nam: unknown key; allowed: extra, items, name, wait`,
		`f.jsonc:3:9: 5001 bad-settings: wait: "soon" is not a duration; allowed: a number with unit, such as "250ms", "8s", "5m"`,
		`f.jsonc:4:20: 5001 bad-settings: items[0].port: 70000 does not fit uint16`,
		`f.jsonc:5:10: 5001 bad-settings: extra: is an array; allowed: an object`,
	}, "\n"))
}

func TestValidatorReportsAbsentKeyAtParentLine(t *testing.T) {
	var s testSettings
	err := Decode("f", []byte("{\n\"items\": [\n{}]}"), &s)
	assert.Equal(t, err.Error(), "f:3:1: 5003 missing-setting: items[0].port: is required")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"x"}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var s testSettings
		_ = Decode("f", b, &s)
	})
}
