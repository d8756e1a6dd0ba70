package partitionsim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/compression"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// applyLimit, applyAgain and readLimit are the daemon's bounds on operators' calls.
	applyLimit, applyAgain = 850 * time.Millisecond, 50 * time.Millisecond
	readLimit              = 700 * time.Millisecond
	// operatorPatience is how long an operator waits for an answer before it asks another daemon.
	operatorPatience = time.Second
)

func bundleOf(reply *peerapi.PullReply) compression.Bundle {
	return compression.Bundle{Data: reply.Configuration, Compressed: reply.ConfigurationCompressed}
}

// copyReply copies what is distorted, and shares the rest.
func copyReply(to, from *peerapi.PullReply) {
	to.Group, to.NodeId, to.LeaderAddress, to.LeaderTerm, to.IsLeader, to.Confirmation = from.Group, from.NodeId, from.LeaderAddress, from.LeaderTerm, from.IsLeader, from.Confirmation
	to.ConfigurationVersion, to.ClosureVersion, to.Configuration, to.ConfigurationCompressed, to.Closures = from.ConfigurationVersion, from.ClosureVersion, from.Configuration, from.ConfigurationCompressed, from.Closures
	to.MemberAddresses = from.MemberAddresses
	to.Members, to.AllMembers, to.MembersIncarnation, to.MembersSeen, to.MembersFullResync, to.KnownAttributesVersion = from.Members, from.AllMembers, from.MembersIncarnation, from.MembersSeen, from.MembersFullResync, from.KnownAttributesVersion
}

// operator changes the configuration again and again, and sends each call until it has a clear answer.
func (w *world) operator(who, turn int, base ident.Revision) {
	if w.ended {
		return
	}
	if w.random.IntN(4) == 0 {
		base += ident.Revision(1 + w.random.IntN(3))
	}
	revision := uint64(base) + 1 + w.random.Uint64N(3)
	call := operatorapi.ApplyRequest{Base: base, Digest: fmt.Sprintf("%d-%d", who, turn), Operator: fmt.Sprint(who)}
	if base > 0 && w.random.IntN(2) == 0 {
		call.Patch = &upstream.Patch{Revision: revision, Upsert: upstream.Items{Pools: []upstream.Pool{{Name: fmt.Sprint("p", turn%5)}}}}
	} else {
		whole, err := json.Marshal(document.Configuration{Name: call.Digest, Forward: &upstream.Section{Revision: revision, Pools: []upstream.Pool{{Name: "p"}}}})
		if err != nil {
			panic(err)
		}
		call.Configuration = whole
	}
	w.order(who, turn, call)
}

// order sends one call to some control daemon, and again to another where there is no clear answer.
func (w *world) order(who, turn int, call operatorapi.ApplyRequest) {
	if w.ended {
		return
	}
	to, done := w.core()[w.random.IntN(w.controls)], false
	next := func(revision ident.Revision) {
		w.after(w.ms(50, 400), func() { w.operator(who, turn+1, revision) })
	}
	w.after(w.ms(1, 6), func() {
		incarnation, asked := to.incarnation, w.now
		to.do(incarnation, func() {
			arrived := w.now
			to.apply(call, func(got operatorapi.ApplyResponse) {
				w.sawAnswer(to, asked, arrived, call, got)
				lost := w.random.IntN(8) == 0
				w.after(w.ms(1, 6), func() {
					if done || lost || got.Outcome == operatorapi.Unknown {
						return
					}
					done = true
					next(got.Revision)
				})
			})
		})
	})
	w.after(operatorPatience, func() {
		if !done {
			done = true
			w.after(w.ms(10, 300), func() { w.order(who, turn, call) })
		}
	})
}

// apply is a control daemon's way of a call: to the leader, again and again until the time is over.
func (n *node) apply(call operatorapi.ApplyRequest, answer func(operatorapi.ApplyResponse)) {
	until, incarnation, done := n.clock()+clock.Mark(applyLimit), n.incarnation, false
	finish := func(got operatorapi.ApplyResponse) {
		if !done {
			done = true
			answer(got)
		}
	}
	var attempt func(told string)
	again := func(told string) func() {
		return func() { n.do(incarnation, func() { attempt(told) }) }
	}
	attempt = func(told string) {
		if done || n.clock() >= until {
			return
		}
		if n.isLeader() {
			n.lead(call, func(got operatorapi.ApplyResponse, outcome replica.Outcome) {
				if outcome == replica.Applied {
					finish(got)
					return
				}
				n.world.after(applyAgain, again(""))
			})
			return
		}
		if n.world.variant == refusesByOwnState && n.core.State().Revision != call.Base {
			finish(operatorapi.ApplyResponse{Outcome: operatorapi.Conflicted, Revision: n.core.State().Revision})
			return
		}
		address := told
		if address == "" {
			address, _ = n.leader()
		}
		to := n.world.at(address)
		if to == nil || to == n {
			n.world.after(applyAgain, again(""))
			return
		}
		n.call(to, until.Since(n.clock()), func(back func(func())) {
			if !to.isLeader() {
				named, _ := to.leader()
				back(func() { n.world.after(applyAgain, again(named)) })
				return
			}
			to.lead(call, func(got operatorapi.ApplyResponse, outcome replica.Outcome) {
				back(func() {
					if outcome == replica.Applied {
						finish(got)
						return
					}
					n.world.after(applyAgain, again(""))
				})
			})
		}, func() { n.world.after(applyAgain, again("")) })
	}
	n.world.after(applyLimit, func() { n.do(incarnation, func() { finish(operatorapi.ApplyResponse{Outcome: operatorapi.Unknown}) }) })
	attempt("")
}

// lead carries a call out at whoever takes itself for the leader.
func (n *node) lead(call operatorapi.ApplyRequest, answer func(operatorapi.ApplyResponse, replica.Outcome)) {
	incarnation := n.incarnation
	n.read(func(read replica.Response) {
		if read.Outcome != replica.Applied {
			answer(operatorapi.ApplyResponse{}, read.Outcome)
			return
		}
		standing := directapply.ViewOf(read.State, call)
		// Working it out takes a while, in which anything may happen.
		n.world.after(n.world.ms(0, 30), func() {
			n.do(incarnation, func() {
				decision := standing.Decide(call)
				if decision.Submit == nil {
					answer(decision.Response, replica.Applied)
					return
				}
				n.submitHere(*decision.Submit, func(got replica.Response) {
					answer(directapply.ResponseTo(got.Result), got.Outcome)
				})
			})
		})
	})
}

// closer closes and opens a zone again and again.
func (w *world) closer(closed bool) {
	if w.ended {
		return
	}
	to := w.core()[w.random.IntN(w.controls)]
	to.do(to.incarnation, func() {
		to.submit(statemachine.Command{Op: statemachine.OpClosure, Zone: "zone0", Closed: closed, Operator: "chen"}, func(result statemachine.Result) {
			if result.Outcome == statemachine.Done {
				w.acknowledged(0, result.Closures.Version)
			}
		})
	})
	w.after(w.ms(300, 900), func() { w.closer(!closed) })
}

// reader reads the newest configuration back again and again.
func (w *world) reader() {
	if w.ended {
		return
	}
	to, asked := w.core()[w.random.IntN(w.controls)], w.now
	newest := w.newestAcked(asked).Configuration
	to.do(to.incarnation, func() {
		arrived := w.now
		seen := func(source *node) func(replica.Response) {
			return func(answer replica.Response) {
				if answer.Outcome == replica.Applied {
					w.sawRead(to, source, asked, arrived, newest, answer.State.Version())
				}
			}
		}
		if to.isLeader() {
			to.read(seen(to))
			return
		}
		address, _ := to.leader()
		leader := w.at(address)
		if leader == nil || leader == to {
			return
		}
		to.call(leader, readLimit, func(back func(func())) {
			if !leader.isLeader() {
				back(func() {})
				return
			}
			leader.read(func(answer replica.Response) {
				got := answer
				version := ident.Version(0)
				if got.Outcome == replica.Applied {
					version = got.State.Version()
				}
				back(func() {
					if got.Outcome == replica.Applied {
						w.sawRead(to, leader, asked, arrived, newest, version)
					}
				})
			})
		}, func() {})
	})
	w.after(w.ms(100, 300), w.reader)
}
