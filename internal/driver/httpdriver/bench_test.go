package httpdriver

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// BenchmarkTokenStream measures the time that the driver takes to read one token.
func BenchmarkTokenStream(b *testing.B) {
	const tokens = 200
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	sum := xxhash.New()
	for pos := range tokens {
		_ = enc.Encode(httpapi.StreamLine{Attempt: "0123456789abcdef", Pos: pos, Text: []byte("pepper ")})
		_, _ = sum.WriteString("pepper ")
	}
	_ = enc.Encode(httpapi.StreamLine{Attempt: "0123456789abcdef", End: true, Tokens: tokens, Sum: sum.Sum64()})
	req := &driver.GenerateRequest{Attempt: "0123456789abcdef"}
	b.ReportAllocs()
	for b.Loop() {
		s := newTokenStream(req, io.NopCloser(bytes.NewReader(body.Bytes())), func() {})
		for {
			_, err := s.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
