// Package relay checks an engine's stream, chunk by chunk, before any of it goes to a client.
package relay

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const (
	// MaxChunkBytes bounds one line of a stream.
	MaxChunkBytes = 256 << 10
	// MaxChunks bounds a stream, so that one without an end is broken off.
	MaxChunks = 1 << 20
)

// Checker checks one stream: each chunk must have the attempt's id and the next number.
type Checker struct {
	attempt string
	next    int
	done    bool
}

// NewChecker makes a checker for the stream of one attempt.
func NewChecker(attempt string) *Checker { return &Checker{attempt: attempt} }

// Complete says that the final line came and no chunk is missing.
func (c *Checker) Complete() bool { return c.done }

// Chunks is how many chunks have passed.
func (c *Checker) Chunks() int { return c.next }

// Check checks one line of the engine. It gives the line for the client, or why the stream must be broken off.
func (c *Checker) Check(line []byte) ([]byte, string) {
	if c.done {
		return nil, "something follows the final line"
	}
	var chunk engineapi.Piece
	decoder := json.NewDecoder(bytes.NewReader(line))
	if err := decoder.Decode(&chunk); err != nil || decoder.More() {
		return nil, "the engine sent a line that can't be read"
	}
	// A foreign id means that answers were crossed; not one byte of it may pass.
	if chunk.Attempt != c.attempt {
		return nil, "the engine sent a piece of another attempt"
	}
	out := callerapi.Piece{Attempt: chunk.Attempt, N: chunk.N, Text: chunk.Text}
	if chunk.Final {
		if chunk.Pieces != c.next {
			return nil, fmt.Sprintf("the engine counts %d pieces, and %d came", chunk.Pieces, c.next)
		}
		c.done = true
		out = callerapi.Piece{Attempt: chunk.Attempt, N: c.next, Final: true, Pieces: c.next}
	} else {
		if chunk.N != c.next {
			return nil, fmt.Sprintf("piece %d came where %d was due", chunk.N, c.next)
		}
		if c.next++; c.next > MaxChunks {
			return nil, "the stream has no end"
		}
	}
	return EncodeLine(out), ""
}

// EncodeLine encodes one line for the client.
func EncodeLine(chunk callerapi.Piece) []byte {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("broken invariant: a piece cannot be encoded: " + err.Error())
	}
	return append(data, '\n')
}
