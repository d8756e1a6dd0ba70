package gateway

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
)

// longLines are lengths of lines, line ends not counted, around those that fill the read buffer once or several times.
var longLines = []int{eventBufferSize - 2, eventBufferSize - 1, eventBufferSize, eventBufferSize + 1, 2*eventBufferSize - 1, 2 * eventBufferSize, 5 * eventBufferSize}

// eventWithLine is an event whose data line has a length.
func eventWithLine(id, length int) string {
	const field = "data: "
	return fmt.Sprintf("%s%s\nid: %d\n\n", field, strings.Repeat("x", length-len(field)), id)
}

// Guards against ORDER: a stream that breaks off behind a line which fills the read buffer has half of an event passed on,
// and is resumed behind its id.
func TestLineThatFillsReadBufferDoesNotEndItsEvent(t *testing.T) {
	for _, length := range longLines {
		for _, lineEnd := range []string{"\n", "\r\n"} {
			event := strings.ReplaceAll(eventWithLine(1, length), "\n", lineEnd)
			s := &stream{exchange: &exchange{Gateway: &Gateway{}}, events: bufio.NewReaderSize(strings.NewReader(event+event[:len(event)-len(lineEnd)]), eventBufferSize)}
			if err := s.readEvents(); err != nil || string(s.pending) != event || s.lastEvent != "1" {
				t.Errorf("a line of %d bytes: %d bytes of %d, id %q, %v", length, len(s.pending), len(event), s.lastEvent, err)
			}
			if err := s.readEvents(); err != errPartialEvent {
				t.Errorf("a line of %d bytes: the broken event ended with %v", length, err)
			}
		}
	}
	endless := &stream{exchange: &exchange{Gateway: &Gateway{}}, events: bufio.NewReaderSize(io.MultiReader(strings.NewReader(eventWithLine(1, 100)), strings.NewReader(strings.Repeat("x", 2*maxEvent))), eventBufferSize)}
	if err := endless.readEvents(); err != errEventTooLarge && (err != nil || endless.readEvents() != errEventTooLarge) {
		t.Error("a line without end is read on")
	}
}
