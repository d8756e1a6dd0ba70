package relay

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/cresspond/cresspond/wire/callerapi"
)

// FuzzLines: whatever lines an engine sends, what goes on is the attempt's own pieces, numbered from zero without a gap,
// and nothing after the final one.
func FuzzLines(f *testing.F) {
	for _, text := range []string{
		`{"attempt":"x","n":0,"piece":"a"}` + "\n" + `{"attempt":"x","n":1,"final":true,"pieces":1}`,
		`{"attempt":"y","n":0,"piece":"a"}`, `{"attempt":"x","n":1,"piece":"a"}`, `{"attempt":"x","final":true,"pieces":0}` + "\n" + `{"attempt":"x","n":0}`,
		`{"attempt":"x","n":0,"piece":"a"} {"attempt":"x","n":1}`, `null`, `[]`, "", `{"attempt":"x","n":-1}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checker := NewChecker("x")
		next, done := 0, false
		for line := range bytes.Lines(data) {
			out, reason := checker.Check(line)
			if reason != "" {
				return
			}
			var chunk callerapi.Piece
			if err := json.Unmarshal(out, &chunk); err != nil || chunk.Attempt != "x" || done || chunk.N != next {
				t.Fatalf("%q went on as %q after %d pieces, %v", line, out, next, err)
			}
			if done = chunk.Final; !done {
				next++
			}
			if checker.Complete() != done || checker.Chunks() != next {
				t.Fatalf("whole %t after %d pieces", checker.Complete(), checker.Chunks())
			}
		}
	})
}
