package daemon

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// IsLeader says whether this daemon leads the group.
func (d *Daemon) IsLeader() bool {
	held := d.replica.Load()
	return held != nil && held.Status().IsLeader
}

// leaderAddress is where the leader is, as far as this daemon knows.
func (d *Daemon) leaderAddress() string {
	address, _ := d.leaderAndTerm()
	return address
}

// leaderAndTerm is where the leader is and in which term it leads, as far as this daemon knows.
func (d *Daemon) leaderAndTerm() (string, uint64) {
	if groupMember := d.replica.Load(); groupMember != nil {
		if condition := groupMember.Status(); condition.Leader.Address != "" {
			return condition.Leader.Address, uint64(condition.Term)
		}
	}
	view := d.members.View()
	return view.LeaderAddress, view.LeaderTerm
}

func (d *Daemon) notLeaderReply() *peerapi.SubmitReply {
	return &peerapi.SubmitReply{Outcome: string(replica.NotLeader), LeaderAddress: d.leaderAddress()}
}

// whileLeader bounds a question to the leader by a time, and by another being known to lead.
func (d *Daemon) whileLeader(ctx context.Context, address string, limit time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	go func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-bounded.Done():
				return
			case <-ticker.C:
				if leader := d.leaderAddress(); leader != "" && leader != address {
					cancel()
				}
			}
		}
	}()
	return bounded, cancel
}

// FirstRolloutAge is, where this daemon leads, how long any bundle has been in force: negative while none
// was, and zero where this daemon can't tell.
func (d *Daemon) FirstRolloutAge() time.Duration {
	held := d.replica.Load()
	if held == nil {
		return 0
	}
	condition := held.Status()
	// A recovered group may have lost its first bundles, so it can't tell when the first came.
	if !condition.IsLeader || condition.Group.Recovered() {
		return 0
	}
	return condition.SinceFirstRollout
}
