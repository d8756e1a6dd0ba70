package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/cluster/peerclient"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// virtualClock is a clock of synctest's fake time, which only waiting moves.
type virtualClock struct{ began time.Time }

func (c virtualClock) Elapsed() clock.Mark { return clock.Mark(time.Hour + time.Since(c.began)) }
func (c virtualClock) Wall() time.Time     { return time.Now() }

// discardDisk is a disk that discards all writes at once.
type discardDisk struct{}

func (discardDisk) Write(ident.GroupID, raft.Save) error { return nil }

// memoryNetwork connects members in one process; a partitioned member neither sends nor receives.
type memoryNetwork struct {
	members     map[raft.MemberID]*replica.Replica
	partitioned map[raft.MemberID]*atomic.Bool
	self        raft.MemberID
}

func (l memoryNetwork) Send(group ident.GroupID, member raft.Member, messages []raft.Message) {
	if !l.partitioned[l.self].Load() && !l.partitioned[member.ID].Load() {
		l.members[member.ID].Receive(group, fmt.Sprint("core-", l.self), messages)
	}
}

// unresponsiveNetwork is a network in which no request is answered.
type unresponsiveNetwork struct{}

func (unresponsiveNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// startGroup runs a group of three until ctx ends, and returns its members, a switch for each that partitions it, and the
// leader.
func startGroup(ctx context.Context, t *testing.T, now virtualClock, group ident.GroupID) (
	all map[raft.MemberID]*replica.Replica, partitioned map[raft.MemberID]*atomic.Bool, leader raft.MemberID,
) {
	t.Helper()
	var members raft.Membership
	for id := range raft.MemberID(3) {
		members.Members = append(members.Members, raft.Member{
			ID:      id + 1,
			Name:    fmt.Sprint("core-", id+1),
			Address: fmt.Sprint("core-", id+1),
			Voter:   true,
		})
	}
	first := raft.PersistentState{
		HardState: raft.HardState{Term: 1},
		Snapshot:  raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()},
	}
	all, partitioned = map[raft.MemberID]*replica.Replica{}, map[raft.MemberID]*atomic.Bool{}
	for _, member := range members.Members {
		partitioned[member.ID] = &atomic.Bool{}
		made, err := replica.New(member, group, first, replica.DefaultConfig(), now, discardDisk{}, memoryNetwork{all, partitioned, member.ID})
		if err != nil {
			t.Fatal(err)
		}
		all[member.ID] = made
	}
	for _, member := range all {
		go member.Run(ctx)
	}
	for leader == 0 {
		<-time.After(replica.TickInterval)
		for id, member := range all {
			if member.Status().IsLeader {
				leader = id
			}
		}
	}
	return all, partitioned, leader
}

// inGroup makes a daemon one of a group of three, its leader or another, and partitions it from the others. check is
// then called with the daemon.
func inGroup(t *testing.T, leads bool, check func(t *testing.T, d *Daemon, measure func(call func()) time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		now := virtualClock{time.Now()}
		const group = ident.GroupID("aa")
		all, partitioned, leader := startGroup(ctx, t, now, group)
		// All members know the leader before the partition.
		<-time.After(5 * replica.TickInterval)
		self := leader
		if !leads {
			self = leader%3 + 1
		}
		settings := daemonconfig.Default()
		settings.Name, settings.PeerAddress, settings.DirectApply = fmt.Sprint("core-", self), fmt.Sprint("core-", self), true
		settings.Roles = []daemonconfig.Role{daemonconfig.Control}
		d := New(settings, "test", &log.Logger{Handler: discard.Default}, WithClock(now))
		d.learnGroup(group)
		d.links = peerclient.New(ctx, settings.PeerAddress, "", peerclient.WithTransport(unresponsiveNetwork{}))
		d.members = membership.New(now, d, d.seeds, settings.PeerAddress, d.pace())
		d.registry = registry.New(now, string(d.nodeID), true, d.heartbeatPeriod, d.controlContact)
		go d.registry.Run(ctx)
		d.rollout = rollout.New(now.Wall, func() {})
		d.replica.Store(all[self])
		if got := d.leaderAddress(); got != fmt.Sprint("core-", leader) {
			t.Fatalf("%s takes %s for the leader, not core-%d", settings.Name, got, leader)
		}
		if leads {
			partitioned[leader].Store(true)
		} else {
			// The leader carries on; it is the calls of this member that nobody answers.
			partitioned[self].Store(true)
		}
		check(t, d, func(call func()) time.Duration {
			began := time.Now()
			call()
			return time.Since(began)
		})
	})
}

// TestCallsReturnWithinTheirLimitWhenTheGroupIsUnreachable: whoever calls a partitioned daemon gets an answer within
// the second after which tools take a daemon to be down, at every moment of the partition, to the millisecond of fake
// time.
func TestCallsReturnWithinTheirLimitWhenTheGroupIsUnreachable(t *testing.T) {
	bundle := []byte(`{"name":"b","forward":{"revision":1,"pools":[{"name":"p"}],"paths":[]}}`)
	full := operatorapi.ApplyRequest{Digest: "whole", Operator: "ana", Configuration: bundle}
	patch := operatorapi.ApplyRequest{Digest: "patch", Operator: "ana", Patch: &upstream.Patch{Revision: 2}}
	// The compressor is shared by the whole process, so it is made outside of the fake time.
	if _, err := compression.Decompress(compression.Compress(bundle)); err != nil {
		t.Fatal(err)
	}
	registration := registry.Registration{ID: "e", Pool: "p", Address: "a:1", Slots: 1, CallSeq: 1, Draining: true}
	for _, leads := range []bool{true, false} {
		for _, after := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("leads %t, %v after the cut", leads, after), func(t *testing.T) {
				inGroup(t, leads, func(t *testing.T, d *Daemon, measure func(func()) time.Duration) {
					<-time.After(after)
					for _, call := range []operatorapi.ApplyRequest{full, patch} {
						var got operatorapi.ApplyResponse
						if took := measure(func() { got = d.ApplyBundle(t.Context(), call) }); took > applyLimit || got.Outcome != operatorapi.Unknown {
							t.Errorf("applying: %s after %v", got.Outcome, took)
						}
					}
					known := true
					if took := measure(func() { _, known = d.NewestBundle(t.Context()) }); took > applyLimit-applyMargin || known {
						t.Errorf("reading back: %t after %v", known, took)
					}
					closing := statemachine.Command{Op: statemachine.OpClosure, Zone: "a", Operator: "ana", HasBase: true}
					var err error
					if took := measure(func() { _, err = d.Command(t.Context(), closing) }); took > time.Second || !errors.Is(err, ErrNoContact) {
						t.Errorf("an operator's command: %v after %v", err, took)
					}
					if took := measure(func() { _, err = d.Query(t.Context(), "closures", "") }); took > time.Second || !errors.Is(err, ErrNoContact) {
						t.Errorf("an operator's query: %v after %v", err, took)
					}
					var outcome registry.Response
					if took := measure(func() { outcome = d.Register(t.Context(), registration) }); took > departureLimit || outcome.Outcome != registry.Unknown {
						t.Errorf("a departure: %s after %v", outcome.Outcome, took)
					}
					if took := measure(func() { outcome = d.Deregister(t.Context(), "f") }); took > departureLimit || outcome.Outcome != registry.Unknown {
						t.Errorf("a deregistration: %s after %v", outcome.Outcome, took)
					}
				})
			})
		}
	}
}

// An engine that reports only to a daemon that is cut off is silent for all others, so it is sent on before they judge
// its silence; a short loss of contact, as in an election, sends nobody away.
func TestHeartbeatsAreAcknowledgedOnlyWithRecentContact(t *testing.T) {
	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprintf("leads %t", leads), func(t *testing.T) {
			inGroup(t, leads, func(t *testing.T, d *Daemon, _ func(func()) time.Duration) {
				heartbeat := registry.Registration{ID: "e", Pool: "p", Address: "a:1", Slots: 1}
				for _, c := range []struct {
					wait time.Duration
					want registry.Outcome
				}{{0, registry.Acknowledged}, {membership.UnconfirmedAfter - 100*time.Millisecond, registry.Acknowledged}, {200 * time.Millisecond, registry.Unknown}, {20 * time.Second, registry.Unknown}} {
					<-time.After(c.wait)
					heartbeat.CallSeq++
					if got := d.Register(t.Context(), heartbeat); got.Outcome != c.want {
						t.Errorf("heartbeat %d: %s, not %s", heartbeat.CallSeq, got.Outcome, c.want)
					}
				}
				if last := d.registry.LastHeartbeats()["e"].CallSeq; last != heartbeat.CallSeq {
					t.Errorf("heartbeat %d counts, not %d", last, heartbeat.CallSeq)
				}
			})
		})
	}
}
