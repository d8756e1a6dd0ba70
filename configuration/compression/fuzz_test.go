package compression

import (
	"bytes"
	"testing"
)

// FuzzDecompress: any bytes are refused, or come to no more than is allowed and come back when they are packed again.
func FuzzDecompress(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(Compress([]byte(`{"name":"n"}`)))
	f.Add(Compress(bytes.Repeat([]byte("path"), 10_000)))
	f.Add(append(Compress([]byte("a")), Compress([]byte("b"))...))
	f.Fuzz(func(t *testing.T, data []byte) {
		raw, err := Decompress(data)
		if err != nil {
			return
		}
		if len(raw) > maxDecompressedBytes {
			t.Fatalf("%d bytes came of %d", len(raw), len(data))
		}
		if again, err := Decompress(Compress(raw)); err != nil || !bytes.Equal(again, raw) {
			t.Fatalf("%d bytes did not come back: %v", len(raw), err)
		}
	})
}
