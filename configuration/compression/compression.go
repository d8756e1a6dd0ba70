// Package compression is the form in which configurations are stored in the log and travel between daemons: compressed
// by zstd, since a configuration of thousands of paths repeats itself.
package compression

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// maxDecompressedBytes bounds the result of Decompress, whatever size the data announces.
const maxDecompressedBytes = 64 << 20

// One of each serves the process: they keep their tables, and may be used by many goroutines at once. Both are
// made when first needed, since most daemons never compress.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		made, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
		if err != nil {
			panic("broken invariant: the encoder's settings are wrong: " + err.Error())
		}
		return made
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		made, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
		if err != nil {
			panic("broken invariant: the decoder's settings are wrong: " + err.Error())
		}
		return made
	})
)

// Compress compresses any bytes.
func Compress(raw []byte) []byte { return encoder().EncodeAll(raw, nil) }

// Decompress gives back what Compress was given. The error is that of the decoder: the data is corrupt, or too large.
func Decompress(data []byte) ([]byte, error) {
	raw, err := decoder().DecodeAll(data, nil)
	return raw, eris.Wrap(err, "the data cannot be decompressed")
}

// Bundle is a configuration as it travels.
type Bundle struct {
	Data []byte
	// Compressed says that Data is compressed.
	Compressed bool
}

// Raw gives the configuration as it was submitted.
func (b Bundle) Raw() ([]byte, error) {
	if !b.Compressed || len(b.Data) == 0 {
		return b.Data, nil
	}
	return Decompress(b.Data)
}
