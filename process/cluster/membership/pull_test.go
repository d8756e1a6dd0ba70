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

// madeUp is a clock of made-up time, in which only waiting takes any.
type syntheticClock struct{ began time.Time }

func (c syntheticClock) Elapsed() clock.Mark { return clock.Mark(time.Hour + time.Since(c.began)) }
func (c syntheticClock) Wall() time.Time     { return time.Now() }

// asked is one question that was put, and until when its answer was held back.
type recordedPull struct {
	at, answered time.Time
	request      *peerapi.PullRequest
}

// lone is a control daemon in a fleet where one other, which leads, has nothing new to tell and so holds each
// answer back for as long as it may.
type singlePeerHost struct {
	mutex sync.Mutex
	pulls []recordedPull
}

func (l *singlePeerHost) DescribeSelf() *peerapi.PullRequest {
	return &peerapi.PullRequest{Group: "g", NodeId: "self#1", Address: "self", Roles: []string{controlRole}, Ready: true, ConfigurationVersion: 1}
}
func (l *singlePeerHost) AddDemand(*peerapi.PullRequest, bool) bool { return false }
func (l *singlePeerHost) InForce() (spec, closure ident.Version)    { return 1, 0 }
func (l *singlePeerHost) ApplyReply(*peerapi.PullReply)             {}
func (l *singlePeerHost) IsLeader() bool                            { return false }
func (l *singlePeerHost) FirstRolloutAge() time.Duration            { return 0 }
func (l *singlePeerHost) EnlistedAt() clock.Mark                    { return 1 }
func (l *singlePeerHost) IsPlanner() bool                           { return false }
func (l *singlePeerHost) ConfirmedAsLeader() clock.Mark             { return 0 }
func (l *singlePeerHost) SourceFreshnessChanged(FreshnessChange)    {}
func (l *singlePeerHost) MembersChanged()                           {}
func (l *singlePeerHost) Tick()                                     {}
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

// TestPullsRepeatWithinTheControlWait: a beat rings no bell, since it brings nothing new. That another control daemon
// hears of it at all, and how soon, rests on its questions: each is held back for a quarter of a second at most, and
// the next follows its answer at once, however long that goes on.
func TestPullsRepeatWithinTheControlWait(t *testing.T) {
	const most = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fleet := &singlePeerHost{}
		m := New(syntheticClock{time.Now()}, fleet, func() []string { return []string{"other"} }, "self", Pace{MinWait: 600 * time.Millisecond, MaxWait: 750 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		<-time.After(2 * time.Second)
		settled := time.Now()
		<-time.After(time.Minute)
		cancel()
		synctest.Wait()
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		questions := slices.DeleteFunc(fleet.pulls, func(a recordedPull) bool { return a.at.Before(settled) })
		// The first of them may begin a whole hold after the minute does.
		if len(questions) < int(time.Minute/most)-1 {
			t.Fatalf("%d questions in a minute", len(questions))
		}
		for i, question := range questions {
			if held := question.answered.Sub(question.at); held > most {
				t.Errorf("an answer is held back for %v", held)
			}
			if i > 0 && question.at.Sub(questions[i-1].answered) > 0 {
				t.Errorf("between an answer and the next question %v pass", question.at.Sub(questions[i-1].answered))
			}
		}
	})
}
