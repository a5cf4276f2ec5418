package httpdriver

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSealedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	c := &sealedConn{Conn: near}
	assert.Equal(t, c.seal(), int64(0))
	_, err := c.Write([]byte("x"))
	assert.ErrorIs(t, err, errSealed)
}
