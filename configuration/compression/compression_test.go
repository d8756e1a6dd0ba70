package compression

import (
	"bytes"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestCompressedBytesRoundTrip(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("any bytes come back, and no bytes make it panic", prop.ForAll(func(raw []byte) bool {
		back, err := Decompress(Compress(raw))
		_, _ = Decompress(raw)
		return err == nil && bytes.Equal(back, raw)
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
	complete := Compress(bytes.Repeat([]byte("path"), 10_000))
	for cut := range complete {
		if _, err := Decompress(complete[:cut]); err == nil && cut > 0 {
			t.Errorf("cut at %d of %d it looks whole", cut, len(complete))
		}
	}
	if _, err := Decompress(Compress(make([]byte, maxDecompressedBytes+1))); err == nil {
		t.Error("more than the bound is unpacked")
	}
}

func TestBundleRawDecompressesOnlyCompressedData(t *testing.T) {
	for _, b := range []Bundle{{}, {Data: []byte("x")}, {Data: Compress([]byte("x")), Compressed: true}, {Compressed: true}} {
		raw, err := b.Raw()
		if err != nil || len(b.Data) > 0 && string(raw) != "x" || len(b.Data) == 0 && len(raw) > 0 {
			t.Errorf("%+v: %q, %v", b, raw, err)
		}
	}
}
