package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/cresspond/cresspond/ident"
)

// encodedSum is the checksum of what TestEncodingsAreStable encodes. It changes only with a change of the state's form
// or of what commands do; then the replicas of a group must be able to run both builds, which the change has to show.
const encodedSum = "f0ec67e94cdd726dd866cd99f8acbd6e43e9785e7d70d3f1fb3a7421e2237c8e"

// TestEncodingsAreStable applies random commands and sums up the encoded commands, results (without their reasons, which
// are for people) and snapshots. Names in Go may change; the data on disk, in the log and between members may not.
func TestEncodingsAreStable(t *testing.T) {
	sum := sha256.New()
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		sum.Write(data)
		return data
	}
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 5))
		state := New()
		for number := range 400 {
			result := state.Apply(encode(randomCommand(random, ident.GroupTime(1000+number*300), state.Revision)))
			result.Reason = ""
			encode(result)
		}
		sum.Write(state.Snapshot())
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != encodedSum {
		t.Errorf("encoded commands, results and snapshots have the checksum %s instead of %s", got, encodedSum)
	}
}
