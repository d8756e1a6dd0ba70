package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// What the member list costs by the number of daemons, for docs/CAPACITY.md: go test -run - -bench Size ./process/cluster/membership

var daemonCounts = []int{12, 60, 370}

// sizeRecord is a routing daemon's own record.
func sizeRecord(number int, version uint64) MemberRecord {
	return MemberRecord{Member: Member{NodeID: ident.NodeID(fmt.Sprintf("edge-%d#%016x", number, number*7919)), Address: fmt.Sprintf("10.%d.%d.9:21003", number/250, number%250),
		Zone: "zone-7", Roles: []string{"route"}, ConfigurationVersion: 5, Ready: true}, Version: version, HasAttributes: true}
}

// fullList is the member list of a control daemon to which so many others pull.
func fullList(daemons int) *MemberList {
	c := NewMemberList("core-0#1", "10.9.9.9:21003", true)
	for i := range daemons {
		c.RecordPull(0, sizeRecord(i, 1), time.Second)
	}
	return c
}

// BenchmarkSizeMembers is what the member list costs: one pull recorded that changes nothing; a sweep; the map of members;
// all of them sent to a new daemon, and merged there; one change sent.
func BenchmarkSizeMembers(b *testing.B) {
	for _, daemons := range daemonCounts {
		of := fmt.Sprint(" of ", daemons, " daemons")
		b.Run("hear one"+of, func(b *testing.B) {
			c := fullList(daemons)
			b.ReportAllocs()
			turn := 0
			for b.Loop() {
				row := sizeRecord(turn%daemons, 1)
				row.HasAttributes = false
				c.RecordPull(clock.Mark(turn), row, time.Second)
				turn++
			}
		})
		b.Run("sweep"+of, func(b *testing.B) {
			c := fullList(daemons)
			b.ReportAllocs()
			for b.Loop() {
				c.Sweep(clock.Mark(time.Millisecond), 0)
			}
		})
		b.Run("view"+of, func(b *testing.B) {
			c := fullList(daemons)
			b.ReportAllocs()
			for b.Loop() {
				c.Members()
			}
		})
		b.Run("tell all"+of, func(b *testing.B) {
			c := fullList(daemons)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				updates, _, _ := c.ChangesSince(1, Cursor{})
				size = encodedSize(b, updates)
			}
			b.ReportMetric(float64(size)/float64(daemons), "bytes/daemon")
		})
		b.Run("learn all"+of, func(b *testing.B) {
			updates, next, fullResync := fullList(daemons).ChangesSince(1, Cursor{})
			b.ReportAllocs()
			for b.Loop() {
				NewMemberList("edge-new#1", "10.8.8.8:21003", false).Merge(2, "10.9.9.9:21003", next, fullResync, updates, 2)
			}
		})
	}
	b.Run("tell one change", func(b *testing.B) {
		c := fullList(370)
		_, seen, _ := c.ChangesSince(1, Cursor{})
		c.RecordPull(1, sizeRecord(7, 2), time.Second)
		size := 0
		for b.Loop() {
			updates, _, _ := c.ChangesSince(1, seen)
			size = encodedSize(b, updates)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

func encodedSize(b *testing.B, updates []MemberUpdate) int {
	b.Helper()
	data, err := proto.Marshal(&peerapi.PullReply{Members: encodeUpdates(updates)})
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
