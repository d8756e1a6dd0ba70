package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"testing"
)

// FuzzEvents: whatever an engine streams, what goes on is a beginning of it, in whole events, with numbers that rise.
func FuzzEvents(f *testing.F) {
	for _, text := range []string{
		events(1, 3), "id: 1\ndata: x\n\nid: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", "data: x\n\n: note\n\nid: 7\n\n", "id: 1\ndata",
		"x-weight-versions: 3\nid: 1\ndata: x\n\n", "id:\n\nid: a\n\nid: b\n\n", "id: 1\nid: 2\n\n", "\n\n\n", "id: 18446744073709551615\n\nid: 0\n\n",
	} {
		f.Add([]byte(text))
	}
	for _, length := range longLines {
		f.Add([]byte(eventWithLine(1, length) + eventWithLine(2, length)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &stream{exchange: &exchange{Gateway: &Gateway{}}, events: bufio.NewReaderSize(bytes.NewReader(data), eventBufferSize)}
		var passed []byte
		var last uint64
		numbered := false
		for {
			err := s.readEvents()
			if err != nil {
				if err == io.EOF && len(passed) != len(data) {
					t.Fatalf("the end was called clean after %d of %d bytes", len(passed), len(data))
				}
				break
			}
			passed = append(passed, s.pending...)
			if !endsWithEvent(passed) {
				t.Fatalf("%q is no whole event", s.pending)
			}
			if number, err := strconv.ParseUint(s.lastEvent, 10, 64); err == nil {
				if numbered && number < last {
					t.Fatalf("event %d follows %d", number, last)
				}
				last, numbered = number, true
			}
		}
		if !bytes.HasPrefix(data, passed) {
			t.Fatal("what went on is not what came")
		}
	})
}

// endsWithEvent reports whether a text ends behind a blank line, as events do.
func endsWithEvent(text []byte) bool {
	if !bytes.HasSuffix(text, []byte("\n")) {
		return false
	}
	last := text[bytes.LastIndexByte(text[:len(text)-1], '\n')+1:]
	return len(bytes.TrimRight(last, "\r\n")) == 0
}
