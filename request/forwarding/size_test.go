package forwarding

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// BenchmarkSizeDemands measures reporting the demand for so many adapters, and the size of the message, for
// docs/CAPACITY.md: go test -run - -bench Size ./request/forwarding
func BenchmarkSizeDemands(b *testing.B) {
	for _, active := range []int{10, 100, 1000, 10000, 87000} {
		b.Run(fmt.Sprint(active, " adapters"), func(b *testing.B) {
			core := NewCore(DefaultSettings())
			now := clock.Mark(time.Hour)
			for i := range active {
				key := demandKey{"pool", fmt.Sprintf("model%04x", i%140), fmt.Sprint("a", i/140)}
				core.demands[key] = &demandState{running: 1, tokensPerSecond: 100, arrivalsPerSecond: 0.1, decayedAt: now}
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				request := &peerapi.PullRequest{}
				for _, d := range core.Demands(now) {
					request.Demand = append(request.Demand, &peerapi.Demand{Pool: d.Pool, Model: d.Model, Adapter: d.Adapter, Queued: int64(d.Queued), Running: int64(d.Running), Tokens: d.TokensPerSecond, Arrivals: d.ArrivalsPerSecond, Rank: int64(d.Rank)})
				}
				data, err := proto.Marshal(request)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkSizeChoose measures admitting a request, choosing among so many engines, and ending it; a tenth of the
// engines have loaded its model, each among three others.
func BenchmarkSizeChoose(b *testing.B) {
	for _, engines := range []int{12, 100, 350, 1400} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			bench := newCoreFixture(b, pathOf("p", upstream.Stream, "batch"))
			all := enginesOf("batch", engines, 96, "x", "y", "z")
			for i := 0; i < len(all); i += 10 {
				all[i].Registration.Models = append(all[i].Registration.Models, registry.LoadedModel{Model: "m"})
			}
			bench.register(all...)
			b.ReportAllocs()
			for b.Loop() {
				request := bench.admit("p", prompt("m", 900, "shared", fmt.Sprint("own", bench.made)))
				if step, _ := pendingStep(request); step.Attempt == nil {
					b.Fatalf("not sent: %+v", step.Answer)
				}
				bench.core.AttemptEnded(request, OutcomeCompleted, bench.world())
				bench.now += ms(1)
			}
		})
	}
}
