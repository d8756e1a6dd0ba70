package forwarding

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/process/clock"
	"github.com/cresspond/cresspond/wire/fellowapi"
)

// BenchmarkSizeDemands is what one daemon tells of the models and adapters asked of it, and how many bytes that
// is, for docs/CAPACITY.md: go test -run - -bench Size ./request/forwarding
func BenchmarkSizeDemands(b *testing.B) {
	for _, active := range []int{10, 100, 1000, 10000, 87000} {
		b.Run(fmt.Sprint(active, " adapters"), func(b *testing.B) {
			core := NewCore(DefaultSettings())
			now := clock.Mark(time.Hour)
			for i := range active {
				key := demandKey{"pool", fmt.Sprintf("model%04x", i%140), fmt.Sprint("a", i/140)}
				core.demands[key] = &demandState{running: 1, tokens: 100, arrivals: 0.1, noted: now}
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				reply := &fellowapi.PullReply{}
				for _, d := range core.Demands(now) {
					reply.Demand = append(reply.Demand, &fellowapi.Demand{Pool: d.Pool, Model: d.Model, Adapter: d.Adapter, Held: int64(d.Held), Running: int64(d.Running), Tokens: d.Tokens, Arrivals: d.Arrivals, Rank: int64(d.Rank)})
				}
				data, err := proto.Marshal(reply)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
