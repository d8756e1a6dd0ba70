package replica

import (
	"context"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Submit puts a command forward and waits for its answer.
func (r *Replica) Submit(ctx context.Context, command statemachine.Command) Response {
	return r.request(ctx, func(answer func(Response)) any { return commandSubmitted{command, answer} })
}

// Read runs look on the state at a linearizable point.
func (r *Replica) Read(ctx context.Context, look func(*statemachine.State)) Outcome {
	return r.request(ctx, func(answer func(Response)) any {
		return readRequested{func(a Response) {
			if a.Outcome == Applied {
				look(a.State)
			}
			answer(a)
		}}
	}).Outcome
}

func (r *Replica) request(ctx context.Context, event func(func(Response)) any) Response {
	answers := make(chan Response, 1)
	if !r.mailbox.Send(event(func(a Response) { answers <- a })) {
		return Response{Outcome: NotLeader}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
	case <-r.mailbox.Done():
	}
	return Response{Outcome: Unknown}
}

// HandOver asks a leader to pass its office on.
func (r *Replica) TransferLeadership() { r.mailbox.Send(transferRequested{}) }

// Join asks a leader to take a member into the group, first as a learner.
func (r *Replica) Join(member raft.Member) { r.mailbox.Send(joinRequested{member}) }

// Leave tells a leader that a member stops. It says whether this member leads, and a majority of the voters holds all
// that is committed without the one that stops, so that it may end.
func (r *Replica) AnnounceLeaving(ctx context.Context, member raft.MemberID) bool {
	held := make(chan bool, 1)
	if !r.mailbox.Send(leavingAnnounced{member, held}) {
		return false
	}
	select {
	case answer := <-held:
		return answer
	case <-ctx.Done():
	case <-r.mailbox.Done():
	}
	return false
}
