package membership

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// syntheticClock is the clock of a synctest bubble, in which only waiting takes time.
type syntheticClock struct{ began time.Time }

func (c syntheticClock) Elapsed() clock.Mark { return clock.Mark(time.Hour + time.Since(c.began)) }
func (c syntheticClock) Wall() time.Time     { return time.Now() }

// recordedPull is one pull that was sent, and when it was answered.
type recordedPull struct {
	at, answered time.Time
	request      *peerapi.PullRequest
}

// singlePeerHost is a control daemon whose only peer, the leader, has no updates and so delays each reply for as long as
// it may.
type singlePeerHost struct {
	mutex sync.Mutex
	pulls []recordedPull
}

func (l *singlePeerHost) DescribeSelf() *peerapi.PullRequest {
	return &peerapi.PullRequest{Group: "g", NodeId: "self#1", Address: "self", Roles: []string{controlRole}, Ready: true, ConfigurationVersion: 1}
}
func (l *singlePeerHost) AddDemand(*peerapi.PullRequest, bool) bool       { return false }
func (l *singlePeerHost) InForce() (configuration, closure ident.Version) { return 1, 0 }
func (l *singlePeerHost) ApplyReply(*peerapi.PullReply)                   {}
func (l *singlePeerHost) IsLeader() bool                                  { return false }
func (l *singlePeerHost) FirstRolloutAge() time.Duration                  { return 0 }
func (l *singlePeerHost) EnlistedAt() clock.Mark                          { return 1 }
func (l *singlePeerHost) IsPlanner() bool                                 { return false }
func (l *singlePeerHost) ConfirmedAsLeader() clock.Mark                   { return 0 }
func (l *singlePeerHost) SourceFreshnessChanged(FreshnessChange)          {}
func (l *singlePeerHost) MembersChanged()                                 {}
func (l *singlePeerHost) Tick()                                           {}
func (l *singlePeerHost) PullFrom(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullReply, error) {
	at := time.Now()
	select {
	case <-time.After(time.Duration(request.MaxWaitMs) * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if request.IntervalMs > 0 {
		l.pulls = append(l.pulls, recordedPull{at, time.Now(), request})
	}
	return &peerapi.PullReply{Group: "g", NodeId: "other#1", IsLeader: true, LeaderAddress: "other", LeaderTerm: 2, ConfigurationVersion: 1,
		MembersIncarnation: "other#1", MembersSeen: uint64(len(l.pulls)), Members: []*peerapi.Member{
			{NodeId: "other#1", Address: "other", Roles: []string{controlRole}, AttributesVersion: 1, ConfigurationVersion: 1, Ready: true, Direct: true}}}, nil
}

// TestPullsRepeatWithinTheControlWait: the heartbeat of an engine wakes no long poll. That another control daemon learns
// of it, and how soon, rests on its pulls: each waits for a quarter of a second at most, and the next one follows its
// reply at once, however long that goes on.
func TestPullsRepeatWithinTheControlWait(t *testing.T) {
	const most = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fleet := &singlePeerHost{}
		m := New(syntheticClock{time.Now()}, fleet, func() []string { return []string{"other"} }, "self", Pace{MinWait: 600 * time.Millisecond, MaxWait: 750 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		<-time.After(2 * time.Second)
		caughtUp := time.Now()
		<-time.After(time.Minute)
		cancel()
		synctest.Wait()
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		pulls := slices.DeleteFunc(fleet.pulls, func(a recordedPull) bool { return a.at.Before(caughtUp) })
		// The first of them may begin a full wait after the minute does.
		if len(pulls) < int(time.Minute/most)-1 {
			t.Fatalf("%d pulls in a minute", len(pulls))
		}
		for i, pull := range pulls {
			if waited := pull.answered.Sub(pull.at); waited > most {
				t.Errorf("a reply is delayed for %v", waited)
			}
			if i > 0 && pull.at.Sub(pulls[i-1].answered) > 0 {
				t.Errorf("between a reply and the next pull %v pass", pull.at.Sub(pulls[i-1].answered))
			}
		}
	})
}
