package partitionsim

import (
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

// enlist has the group record this incarnation.
func (n *node) enlist() {
	if n.enlisted > 0 {
		return
	}
	n.submit(statemachine.Command{Op: statemachine.OpRegister, NodeID: n.id(), Address: n.name}, func(result statemachine.Result) {
		if n.enlisted == 0 && result.Outcome == statemachine.Done {
			n.enlisted = n.clock()
		}
	})
}

// submit brings a command to the leader, following one redirect; done is called where it was applied.
func (n *node) submit(command statemachine.Command, done func(statemachine.Result)) {
	if n.isLeader() {
		n.submitHere(command, func(answer replica.Response) {
			if answer.Outcome == replica.Applied {
				done(answer.Result)
			}
		})
		return
	}
	address, _ := n.leader()
	n.submitTo(address, command, done, true)
}

func (n *node) submitTo(address string, command statemachine.Command, done func(statemachine.Result), follow bool) {
	to := n.world.at(address)
	if to == nil || to == n {
		return
	}
	n.call(to, submitLimit, func(answer func(func())) {
		if !to.isLeader() {
			told, _ := to.leader()
			answer(func() {
				if follow {
					n.submitTo(told, command, done, false)
				}
			})
			return
		}
		to.submitHere(command, func(got replica.Response) {
			answer(func() {
				if got.Outcome == replica.Applied {
					done(got.Result)
				}
			})
		})
	}, func() {})
}

func (n *node) submitHere(command statemachine.Command, answer func(replica.Response)) {
	n.refs++
	n.pendingRequests[n.refs] = answer
	n.perform(n.core.Submit(n.clock(), n.refs, command))
}

// read looks at the state as the leader does.
func (n *node) read(look func(answer replica.Response)) {
	if n.world.variant == readsUnasked {
		look(replica.Response{Outcome: replica.Applied, State: n.core.State()})
		return
	}
	n.refs++
	n.pendingRequests[n.refs] = look
	n.perform(n.core.Read(n.clock(), n.refs))
}
