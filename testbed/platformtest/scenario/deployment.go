package scenario

import (
	"fmt"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

var zones = []string{"north", "middle", "south"}

// models is the number of models; a few get most of the requests.
const models = 6

func modelName(n int) string { return fmt.Sprintf("model-%d", n) }

func catalogue() protocol.EngineID {
	c := protocol.EngineID{Slots: 8, KVCapacity: 12000, KVTokenBytes: 1000, LinkMbps: 1000, Stride: 2, WeightsMb: 100, AdapterCapacity: 4, LoadsPerS: 2}
	for n := range models {
		c.Models = append(c.Models, protocol.CatalogModel{Label: modelName(n), WeightsMb: []float64{30, 45}[n%2], LoadTimeS: []float64{0.3, 0.5}[n%2], Adapters: 3, AdapterSizeMb: 1})
	}
	return c
}

// initialModels spreads the models over the first engines, the busy ones on more of them.
func initialModels(n int) []protocol.Holding {
	holding := func(model int) protocol.Holding { return protocol.Holding{Label: modelName(model), Generation: 1} }
	return [][]protocol.Holding{{holding(0), holding(1)}, {holding(0), holding(2)}, {holding(1), holding(4)}, {holding(3), holding(5)}}[n%4]
}

func firstConfig() *protocol.Config {
	models := catalogue()
	return &protocol.Config{Generation: 1,
		Backends: []protocol.Backend{{Label: "lm", HealthPath: "/health", MaxConns: 100, Protocol: "h1", Engine: &models},
			{Label: "notes", HealthPath: "/health", MaxConns: 60, Protocol: "h1"}, {Label: "spare", HealthPath: "/health", MaxConns: 60, Protocol: "h1"}},
		Routes: []protocol.Route{
			{Label: "triage", Authority: "ci.example", PathPrefix: "/triage/", Class: protocol.Streaming, DeadlineMs: 6000, TargetMs: 1500, Urgency: 1, Backend: "lm", Tries: 2, Affine: true, GapTargetMs: 400},
			{Label: "draft", Authority: "ci.example", PathPrefix: "/draft/", Class: protocol.Streaming, DeadlineMs: 10000, TargetMs: 4000, Urgency: 2, Backend: "lm", Tries: 3, Affine: true, Resumable: true, GapTargetMs: 400},
			{Label: "note", Authority: "ci.example", PathPrefix: "/note/", Class: protocol.Idempotent, DeadlineMs: 3000, TargetMs: 500, Urgency: 1, Backend: "notes", Tries: 3},
			{Label: "mail", Authority: "ci.example", PathPrefix: "/mail/", Class: protocol.Mutating, DeadlineMs: 3000, TargetMs: 500, Urgency: 0, Backend: "notes", Tries: 3}},
		Limits: protocol.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
}
