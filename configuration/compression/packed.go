// Package compression is the form in which bundles lie in the log and travel between daemons: compressed, since a
// bundle of thousands of paths says the same words over and over.
package compression

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// mostUnpacked bounds what a packed bundle may grow to, whatever its head says.
const maxDecompressedBytes = 64 << 20

// One of each serves the whole process: they keep their tables, and may be used by many at once. Both are
// made when first needed, since most daemons never pack.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		made, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
		if err != nil {
			panic("broken invariant: the packer's settings are wrong: " + err.Error())
		}
		return made
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		made, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
		if err != nil {
			panic("broken invariant: the unpacker's settings are wrong: " + err.Error())
		}
		return made
	})
)

// Compress compresses.
func Compress(raw []byte) []byte { return encoder().EncodeAll(raw, nil) }

// Decompress gives back what was packed.
func Decompress(data []byte) ([]byte, error) {
	raw, err := decoder().DecodeAll(data, nil)
	return raw, eris.Wrap(err, "this cannot be unpacked")
}

// Bundle is a bundle as it travels.
type Bundle struct {
	Data []byte
	// Compressed says that Data is compressed.
	Compressed bool
}

// Raw gives the bundle as it was handed in.
func (b Bundle) Raw() ([]byte, error) {
	if !b.Compressed || len(b.Data) == 0 {
		return b.Data, nil
	}
	return Decompress(b.Data)
}
