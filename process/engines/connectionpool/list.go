package connectionpool

import (
	"bytes"
	"iter"
	"strings"
)

// splitList gives the names of a list that a field holds.
func splitList(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for word := range bytes.SplitSeq(list, []byte{','}) {
			if word = bytes.TrimSpace(word); len(word) > 0 && !yield(append([]byte(nil), word...)) {
				return
			}
		}
	}
}

// isFraming says whether a field belongs to the message and not to a connection, whatever a sender names.
func isFraming(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "host", "content-length", "content-type", "content-encoding", "close", "keep-alive":
		return true
	}
	return false
}
