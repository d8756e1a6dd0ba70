// Package relay checks an engine's stream, piece by piece, before any of it goes to a caller.
package relay

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const (
	// MostPiece is how long one line may be.
	MostPiece = 256 << 10
	// MostPieces bounds a stream, so that one without end is cut off.
	MostPieces = 1 << 20
)

// Checker follows one stream.
type Checker struct {
	attempt string
	next    int
	done    bool
}

// NewChecker follows the stream of one attempt.
func NewChecker(attempt string) *Checker { return &Checker{attempt: attempt} }

// Whole says that the final line came, and nothing is missing.
func (c *Checker) Whole() bool { return c.done }

// Pieces is how many pieces have passed.
func (c *Checker) Pieces() int { return c.next }

// Take checks one line and gives the line for the caller, or why the stream must be broken off.
func (c *Checker) Take(line []byte) ([]byte, string) {
	if c.done {
		return nil, "something follows the final line"
	}
	var piece engineapi.Piece
	decoder := json.NewDecoder(bytes.NewReader(line))
	if err := decoder.Decode(&piece); err != nil || decoder.More() {
		return nil, "the engine sent a line that can't be read"
	}
	// A foreign id means that answers were crossed; not one byte of it may pass.
	if piece.Attempt != c.attempt {
		return nil, "the engine sent a piece of another attempt"
	}
	out := callerapi.Piece{Attempt: piece.Attempt, N: piece.N, Text: piece.Text}
	if piece.Final {
		if piece.Pieces != c.next {
			return nil, fmt.Sprintf("the engine counts %d pieces, and %d came", piece.Pieces, c.next)
		}
		c.done = true
		out = callerapi.Piece{Attempt: piece.Attempt, N: c.next, Final: true, Pieces: c.next}
	} else {
		if piece.N != c.next {
			return nil, fmt.Sprintf("piece %d came where %d was due", piece.N, c.next)
		}
		if c.next++; c.next > MostPieces {
			return nil, "the stream has no end"
		}
	}
	return Line(out), ""
}

// Line gives the form of one line.
func Line(piece callerapi.Piece) []byte {
	data, err := json.Marshal(piece)
	if err != nil {
		panic("broken invariant: a piece cannot be encoded: " + err.Error())
	}
	return append(data, '\n')
}
