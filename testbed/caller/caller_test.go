package caller

import (
	"encoding/json"
	"testing"
	"time"
)

// TestRecordKeepsItsJSONNames: calls.jsonl of earlier runs is read by the same names.
func TestRecordKeepsItsJSONNames(t *testing.T) {
	data, err := json.Marshal(Record{Chunks: 3, FirstChunk: 5 * time.Nanosecond})
	if err != nil {
		t.Fatal(err)
	}
	var fields struct{ Pieces, FirstPiece int }
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	if fields.Pieces != 3 || fields.FirstPiece != 5 {
		t.Errorf("encoded as %s", data)
	}
}
