package httpapi_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/policy/route"
)

// Guards against different keys in packages httpapi and route: cache events of engines would then
// match no prompt, and prefixes would be computed again on engines that do not have them cached.
func TestBlockKeysMatchRouting(t *testing.T) {
	prompt := bytes.Repeat([]byte("lot "), httpapi.BlockTokens*3+10)
	want := route.Pieces(nil, "m", prompt, httpapi.BlockBytes)
	assert.Equal(t, len(want), 3)
	assert.DeepEqual(t, httpapi.BlockKeys("m", prompt), want)
}
