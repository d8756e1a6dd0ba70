package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// maxStateBytes is what a state may take, with bundles of 22 KB as a fleet of 3,000 routes has them: a machine that comes
// with an empty disk is sent all of it.
const maxStateBytes = 2200 << 10

func TestStateIsBoundedOverTwentyThousandChanges(t *testing.T) {
	state := New()
	figures := map[int]bool{300: true, 1400: true, 4096: true, 20000: true}
	largest := 0
	for change := range 20000 {
		command := Command{
			Op: OpApply, At: ident.GroupTime(1000 + change), Operator: "operator", Digest: fmt.Sprintf("%064d", change),
			BaseRevision: ident.Revision(change), Revision: ident.Revision(change + 1), Configuration: make([]byte, 22<<10), Compressed: true,
		}
		data, err := json.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		if result := state.Apply(data); result.Outcome != Done {
			t.Fatalf("change %d: %+v", change, result)
		}
		if !figures[change+1] {
			continue
		}
		began := time.Now()
		snapshot := state.Snapshot()
		encoded := time.Since(began)
		began = time.Now()
		if _, err := Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d changes: %d KB, written in %v, read in %v", change+1, len(snapshot)>>10, encoded.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
		largest = max(largest, len(snapshot))
	}
	if largest > maxStateBytes {
		t.Errorf("the state takes %d bytes", largest)
	}
}
