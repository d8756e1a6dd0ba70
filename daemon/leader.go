package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// IsLeader says whether this daemon leads the control group.
func (d *Daemon) IsLeader() bool {
	groupMember := d.replica.Load()
	return groupMember != nil && groupMember.Status().IsLeader
}

// leaderAddress returns the address of the leader as far as this daemon knows; empty is unknown.
func (d *Daemon) leaderAddress() string {
	address, _ := d.leaderAndTerm()
	return address
}

// leaderAndTerm returns the address and the term of the leader, as far as this daemon knows.
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

// leaderCheckEvery is how often a request to the leader checks that no other is known.
const leaderCheckEvery = 100 * time.Millisecond

// errOtherLeader ends a request to a daemon that another one is known to have followed as the leader.
var errOtherLeader = errors.New("another daemon leads the control group")

// whileLeader bounds a request to the leader by a limit, and ends it once another daemon is known to lead.
func (d *Daemon) whileLeader(ctx context.Context, address string, limit time.Duration) (context.Context, context.CancelFunc) {
	limited, cancelLimit := context.WithTimeout(ctx, limit)
	bounded, cancel := cancelWhen(limited, leaderCheckEvery, errOtherLeader, func() bool {
		leader := d.leaderAddress()
		return leader != "" && leader != address
	})
	return bounded, func() { cancel(); cancelLimit() }
}

// FirstRolloutAge returns, if this daemon leads, how long any configuration has been in force: negative while none
// has been, and zero where this daemon can't tell.
func (d *Daemon) FirstRolloutAge() time.Duration {
	groupMember := d.replica.Load()
	if groupMember == nil {
		return 0
	}
	condition := groupMember.Status()
	// A recovered group may have lost its first configurations, so it can't tell when the first came.
	if !condition.IsLeader || condition.Group.Recovered() {
		return 0
	}
	return condition.SinceFirstRollout
}
