package noderanking

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/peerapi"
)

func viewOf(ids ...ident.EngineID) *registry.View {
	view := &registry.View{Engines: map[ident.EngineID]*registry.Engine{}}
	for _, id := range ids {
		view.Engines[id] = &registry.Engine{Registration: registry.Registration{ID: id, Pool: "p"}}
	}
	return view
}

func TestDigestsRoundTrip(t *testing.T) {
	sent := []nodehealth.Digest{
		{
			Engine:  "a",
			Class:   nodehealth.Class{Kind: nodehealth.Stall, Pool: "p", Model: "m", TargetMs: 400, Load: 5},
			Buckets: []nodehealth.Bucket{{Value: 20, Count: 30}, {Value: 900, Count: 1}},
		},
		{
			Engine:  "a",
			Class:   nodehealth.Class{Kind: nodehealth.Transfer, Pool: "p", Model: "m", Load: 5, Size: 4},
			Buckets: []nodehealth.Bucket{{Value: 80, Count: 7}},
		},
		{
			Engine:  "b",
			Class:   nodehealth.Class{Kind: nodehealth.Connect, Pool: "p"},
			Buckets: []nodehealth.Bucket{{Value: 1, Count: 2}},
		},
		{
			Engine:  "gone",
			Class:   nodehealth.Class{Kind: nodehealth.Connect, Pool: "p"},
			Buckets: []nodehealth.Bucket{{Value: 1, Count: 2}},
		},
	}
	if got := decodeDigests(viewOf("a", "b"), encodeDigests(sent)); !reflect.DeepEqual(got, sent[:3]) {
		t.Fatalf("%+v", got)
	}
}

// A peer may send anything; malformed digests are dropped.
func TestMalformedDigestsAreDropped(t *testing.T) {
	many := make([]uint32, maxBuckets+1)
	for name, class := range map[string]*peerapi.NodeClass{
		"kind":     {Kind: 9, Values: []uint32{1}, Counts: []uint32{1}},
		"load":     {Load: 200, Values: []uint32{1}, Counts: []uint32{1}},
		"size":     {Size: 200, Values: []uint32{1}, Counts: []uint32{1}},
		"uneven":   {Values: []uint32{1, 2}, Counts: []uint32{1}},
		"too many": {Values: many, Counts: many},
	} {
		if got := decodeDigests(viewOf("a"), []*peerapi.NodeDigest{{
			Engine:  "a",
			Classes: []*peerapi.NodeClass{class},
		}}); len(got) != 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// A daemon of the size that we design for has some 39 requests a second on tens of engines; its messages must stay
// small.
func TestDigestsAreSmall(t *testing.T) {
	var digests []nodehealth.Digest
	for n := range 39 {
		id := ident.EngineID(fmt.Sprintf("i-%010x", 0xabcdef00+n))
		stalls, firsts := nodehealth.Digest{
			Engine: id,
			Class: nodehealth.Class{
				Kind:     nodehealth.Stall,
				Pool:     "p",
				Model:    "model-0123456789",
				TargetMs: 400,
				Load:     6,
			},
		},
			nodehealth.Digest{
				Engine: id,
				Class: nodehealth.Class{
					Kind:  nodehealth.Transfer,
					Pool:  "p",
					Model: "model-0123456789",
					Load:  6,
					Size:  4,
				},
			}
		for bucket := range 12 {
			stalls.Buckets = append(stalls.Buckets, nodehealth.Bucket{
				Value: uint32(16 + 4*bucket),
				Count: uint32(1 + 10*bucket%17),
			})
		}
		for bucket := range 3 {
			firsts.Buckets = append(firsts.Buckets, nodehealth.Bucket{Value: uint32(100 + 50*bucket), Count: 1})
		}
		digests = append(digests, stalls, firsts)
	}
	bytes := proto.Size(&peerapi.PullRequest{Nodes: encodeDigests(digests)})
	t.Logf("%d bytes for 39 engines, %d each", bytes, bytes/39)
	if bytes > 39*150 {
		t.Fatalf("%d bytes", bytes)
	}
}
