package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
)

func (n *simNode) send(messages []raft.Message) {
	s := n.sim
	for _, m := range messages {
		if m.Kind == raft.MsgHeartbeatReply && m.StateDigest != nil {
			s.compared++
		}
		if m.To == n.id {
			n.carryOut(n.core.Step(s.now, raft.Receive{Message: m}))
			continue
		}
		to := s.nodeOf(m.To)
		if to == nil || s.cut[[2]int{n.place, to.place}] || s.random.Float64() < s.loss {
			continue
		}
		if m.Snapshot != nil && s.damage != nil {
			s.damage(&m)
		}
		if s.wholeSnapshots {
			m.AcceptsChunks = false
		}
		copies := 1
		if s.faults && s.random.IntN(50) == 0 {
			copies = 2
		}
		for range copies {
			delay := s.ms(1, 6)
			if s.faults && s.random.IntN(40) == 0 {
				delay += s.ms(0, 400)
			}
			line, sent := n.lineTime(m)
			if !sent {
				continue
			}
			s.after(delay+line, func() { to.receive(m) })
		}
	}
}

// callLimit is how long a call with messages may take before it is given up.
const callLimit = 3 * time.Second

// lineTime is how long a message waits for a machine's link, and takes on it. As between daemons, what is large is
// dropped where a megabyte waits already, and a call that takes too long is given up.
func (n *simNode) lineTime(m raft.Message) (time.Duration, bool) {
	s := n.sim
	if s.link == 0 {
		return 0, true
	}
	const headBytes, mostWaiting, large = 300, 1 << 20, 4 << 10
	size := headBytes
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	if s.busyUntil == nil {
		s.busyUntil = map[int]clock.Mark{}
	}
	takes := func(bytes int) time.Duration {
		return time.Duration(bytes) * time.Second / time.Duration(s.link)
	}
	free := max(s.busyUntil[n.place], s.now)
	if size > large && free.Since(s.now) > takes(mostWaiting) {
		return 0, false
	}
	s.busyUntil[n.place] = free + clock.Mark(takes(size))
	s.sentBytes += size
	line := s.busyUntil[n.place].Since(s.now)
	return line, line <= callLimit
}

// ask sends a command or a read to a node over the network, and its answer back.
func (s *sim) ask(to *simNode, command *statemachine.Command, answer func(Response)) {
	s.refs++
	ref := s.refs
	if s.random.Float64() < s.loss {
		return
	}
	s.after(s.ms(1, 10), func() {
		if !to.up || s.now < to.frozenUntil {
			return
		}
		s.asked[ref] = func(a Response) {
			if s.random.Float64() < s.loss {
				return
			}
			// The state may be read only until the answer is handled, so a read is looked at here.
			var seen ident.Version
			if a.State != nil {
				seen = a.State.Closures.Version
			}
			s.after(s.ms(1, 10), func() {
				if a.State != nil {
					a.Result.Version = seen
				}
				answer(a)
			})
		}
		if command == nil {
			if s.broken == readsUnasked && to.core.raft.Role() == raft.Leader {
				reply := s.asked[ref]
				delete(s.asked, ref)
				reply(Response{Outcome: Applied, State: to.core.state})
				return
			}
			to.carryOut(to.core.Read(s.now, ref))
			return
		}
		to.carryOut(to.core.Submit(s.now, ref, *command))
	})
}
