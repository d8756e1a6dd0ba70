package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// powerOfAll is the trouble in which all machines lose power.
const powerOfAll = 2

// trouble makes one failure after the other happen.
func (s *sim) trouble() {
	wait := s.ms(200, 2500)
	if s.calm {
		wait = s.ms(2000, 16000)
	}
	s.after(wait, func() {
		if !s.faults {
			return
		}
		n := s.some(1)[0]
		kind := s.random.IntN(14)
		if s.onlyPower {
			kind = powerOfAll
		}
		switch kind {
		case 0, 1:
			n.crash()
			s.after(s.ms(50, 4000), n.revive)
		case powerOfAll:
			// All at once.
			for _, each := range s.nodes {
				each.crash()
				s.after(s.ms(50, 2000), each.revive)
			}
		case 3:
			// Cut one member off, both ways or one way.
			way := s.random.IntN(3)
			for _, other := range s.nodes {
				if other == n {
					continue
				}
				if way != 0 {
					s.cut[[2]int{n.place, other.place}] = true
				}
				if way != 1 {
					s.cut[[2]int{other.place, n.place}] = true
				}
			}
			s.after(s.ms(500, 6000), func() { clear(s.cut) })
		case 4:
			n.frozenUntil = s.now + clock.Mark(s.ms(500, 5000))
		case 5:
			n.stallUntil = s.now + clock.Mark(s.ms(500, 4000))
		case 6:
			n.wallJump += time.Duration(s.random.IntN(20000)-10000) * time.Second
		case 7:
			h := s.holders[s.random.IntN(len(s.holders))]
			h.frozen = s.now + clock.Mark(s.ms(1000, 45000))
		case 10:
			n.wipe()
		case 11:
			n.replace()
		case 12:
			s.lose()
		case 13:
			// As many as may be lost are replaced at once.
			if s.size >= 3 && s.whole() {
				for _, each := range s.some((s.size - 1) / 2) {
					each.leave()
				}
			}
		case 9:
			// Back at once, over and over: what a vote was must not be forgotten in between.
			for i := range 6 {
				s.after(time.Duration(i)*s.ms(100, 400), func() {
					n.crash()
					s.after(s.ms(1, 20), n.revive)
				})
			}
		case 8:
			h := s.holders[s.random.IntN(len(s.holders))]
			if s.random.IntN(2) == 0 {
				h.begin()
			} else {
				h.leave()
			}
		}
		s.trouble()
	})
}

// wipe brings a machine back with an empty data folder: another member at the old address.
func (n *simNode) wipe() {
	s := n.sim
	// One loss at a time: the group stands losing one machine, and this is the one until it votes again.
	if s.size < 3 || n.gone || !s.whole() {
		return
	}
	n.crash()
	n.empty()
	s.after(s.ms(50, 3000), n.revive)
}

// empty is a new data folder: it makes another identity.
func (n *simNode) empty() {
	n.sim.wipes++
	n.sim.lostDisks[n.id] = n.disk.state
	n.id = raft.MemberID(10000*n.sim.wipes + n.place + 1)
	n.disk.state = raft.PersistentState{}
}

// replace takes a machine away for good; an empty one comes a little later, with another name at another address.
func (n *simNode) replace() {
	s := n.sim
	if s.size < 3 || n.gone || !s.whole() {
		return
	}
	n.leave()
}

// leave takes the machine away; another comes.
func (n *simNode) leave() {
	n.crash()
	n.gone = true
	n.sim.replaced++
	n.sim.after(n.sim.ms(0, 2000), n.sim.add)
}

// lose is the worst that the group must stand: as many disks as may be lost are, while all others lose power.
func (s *sim) lose() {
	if s.size < 3 || !s.whole() {
		return
	}
	s.losses++
	for i, n := range s.some(s.size) {
		n.crash()
		if i < (s.size-1)/2 {
			n.empty()
		}
		s.after(s.ms(50, 2500), n.revive)
	}
}

// losePowerWhileWriting has disks take long, and all machines lose power over and over.
func (s *sim) losePowerWhileWriting() { s.onlyPower, s.diskTakes = true, 100*time.Millisecond }

// heal ends all trouble.
func (s *sim) heal() {
	s.faults, s.loss, s.damage = false, 0, nil
	clear(s.cut)
	for _, n := range s.nodes {
		n.frozenUntil, n.stallUntil = 0, 0
		n.revive()
	}
}
