package replica

import (
	"context"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// Submit proposes a command and waits for its outcome: [Unknown] where ctx or the actor ends first.
func (r *Replica) Submit(ctx context.Context, command statemachine.Command) Response {
	return r.request(ctx, func(respond func(Response)) any { return commandSubmitted{command, respond} })
}

// Read runs look on the state at a linearizable point, on the actor's goroutine; look must not keep the state.
func (r *Replica) Read(ctx context.Context, look func(*statemachine.State)) Outcome {
	return r.request(ctx, func(respond func(Response)) any {
		return readRequested{func(response Response) {
			if response.Outcome == Applied {
				look(response.State)
			}
			respond(response)
		}}
	}).Outcome
}

// request sends the actor an event that bears a function for the response, and waits for that.
func (r *Replica) request(ctx context.Context, event func(respond func(Response)) any) Response {
	responses := make(chan Response, 1)
	if !r.mailbox.Send(event(func(response Response) { responses <- response })) {
		return Response{Outcome: NotLeader}
	}
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
	case <-r.mailbox.Done():
	}
	return Response{Outcome: Unknown}
}

// respond answers the requests that wait for these responses.
func (r *Replica) respond(responses []Response) {
	for _, response := range responses {
		if reply, ok := r.waiters[response.RequestID]; ok {
			delete(r.waiters, response.RequestID)
			reply(response)
		}
	}
}

// TransferLeadership asks a leader to hand its leadership to another member.
func (r *Replica) TransferLeadership() { r.mailbox.Send(transferRequested{}) }

// Join asks a leader to take a member into the group, first as a learner. Members repeat it until they vote; only a
// leader that has applied all that was committed takes note of it, and only if the member understands the group's feature
// level.
func (r *Replica) Join(member raft.Member, level statemachine.FeatureLevel) {
	r.mailbox.Send(joinRequested{member, level})
}

// AnnounceLeaving tells a leader that an incarnation of a member's process shuts down. It reports whether that member may end now: this one leads,
// and a majority of the voters holds all that is committed without the one that leaves.
func (r *Replica) AnnounceLeaving(ctx context.Context, member raft.MemberID, incarnation uint64) bool {
	safeToStop := make(chan bool, 1)
	if !r.mailbox.Send(leavingAnnounced{member, incarnation, safeToStop}) {
		return false
	}
	select {
	case safe := <-safeToStop:
		return safe
	case <-ctx.Done():
	case <-r.mailbox.Done():
	}
	return false
}
