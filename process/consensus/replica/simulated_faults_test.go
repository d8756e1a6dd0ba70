package replica

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// The random faults. Their numbers are drawn, so changing them changes what each seed plays.
const (
	machineCrash randomFault = iota
	machineCrashAgain
	powerLossOfAll
	partition
	suspension
	diskStall
	wallClockJump
	leaseHolderSuspension
	leaseHolderRestart
	rapidRestarts
	diskWipe
	replacement
	minorityDiskLoss
	simultaneousReplacements
	randomFaults
)

// randomFault is a kind of fault that scheduleFaults draws.
type randomFault int

// scheduleFaults makes one random fault after the other happen.
func (s *simulation) scheduleFaults() {
	wait := s.randomDuration(200, 2500)
	if s.sparseFaults {
		wait = s.randomDuration(2000, 16000)
	}
	s.schedule(wait, func() {
		if !s.faultsEnabled {
			return
		}
		victim := s.randomMachines(1)[0]
		kind := randomFault(s.random.IntN(int(randomFaults)))
		if s.powerLossOnly {
			kind = powerLossOfAll
		}
		s.injectRandom(kind, victim)
		s.scheduleFaults()
	})
}

func (s *simulation) injectRandom(kind randomFault, victim *simulatedNode) {
	switch kind {
	case machineCrash, machineCrashAgain:
		victim.crash()
		s.schedule(s.randomDuration(50, 4000), victim.restart)
	case powerLossOfAll:
		for _, each := range s.nodes {
			each.crash()
			s.schedule(s.randomDuration(50, 2000), each.restart)
		}
	case partition:
		s.partitionOff(victim)
	case suspension:
		victim.frozenUntil = s.now + clock.Mark(s.randomDuration(500, 5000))
	case diskStall:
		victim.stallUntil = s.now + clock.Mark(s.randomDuration(500, 4000))
	case wallClockJump:
		victim.wallJump += time.Duration(s.random.IntN(20000)-10000) * time.Second
	case leaseHolderSuspension:
		holder := s.holders[s.random.IntN(len(s.holders))]
		holder.frozenUntil = s.now + clock.Mark(s.randomDuration(1000, 45000))
	case leaseHolderRestart:
		holder := s.holders[s.random.IntN(len(s.holders))]
		if s.random.IntN(2) == 0 {
			holder.begin()
		} else {
			holder.releaseAndRestart()
		}
	case rapidRestarts:
		// A vote must not be forgotten in between.
		for i := range 6 {
			s.schedule(time.Duration(i)*s.randomDuration(100, 400), func() {
				victim.crash()
				s.schedule(s.randomDuration(1, 20), victim.restart)
			})
		}
	case diskWipe:
		victim.wipe()
	case replacement:
		victim.replace()
	case minorityDiskLoss:
		s.loseMinorityAndPower()
	case simultaneousReplacements:
		// As many as the group survives are replaced at once.
		if s.voters >= 3 && s.fullyRepaired() {
			for _, each := range s.randomMachines((s.voters - 1) / 2) {
				each.removeAndReplace()
			}
		}
	}
}

// partitionOff separates one member from all others for a while, both ways or one way.
func (s *simulation) partitionOff(victim *simulatedNode) {
	way := s.random.IntN(3)
	for _, other := range s.nodes {
		if other == victim {
			continue
		}
		if way != 0 {
			s.partitioned[[2]int{victim.index, other.index}] = true
		}
		if way != 1 {
			s.partitioned[[2]int{other.index, victim.index}] = true
		}
	}
	s.schedule(s.randomDuration(500, 6000), func() { clear(s.partitioned) })
}

// wipe brings a machine back with an empty data folder: another member at the old address.
func (n *simulatedNode) wipe() {
	s := n.sim
	// One loss at a time: the group survives the loss of one machine, and this is the one until it votes again.
	if s.voters < 3 || n.removed || !s.fullyRepaired() {
		return
	}
	n.crash()
	n.wipeDisk()
	s.schedule(s.randomDuration(50, 3000), n.restart)
}

// wipeDisk empties the data folder, which gives the machine another member identity.
func (n *simulatedNode) wipeDisk() {
	n.sim.wipes++
	n.sim.wipedDisks[n.id] = n.disk.state
	n.id = raft.MemberID(10000*n.sim.wipes + n.index + 1)
	n.disk.state = raft.PersistentState{}
}

// replace removes a machine for good; an empty one comes a little later, with another name at another address.
func (n *simulatedNode) replace() {
	s := n.sim
	if s.voters < 3 || n.removed || !s.fullyRepaired() {
		return
	}
	n.removeAndReplace()
}

// removeAndReplace removes the machine and adds another.
func (n *simulatedNode) removeAndReplace() {
	n.crash()
	n.removed = true
	n.sim.replaced++
	n.sim.schedule(n.sim.randomDuration(0, 2000), n.sim.addMachine)
}

// loseMinorityAndPower is the worst that the group must survive: a minority loses its disks while all others lose power.
func (s *simulation) loseMinorityAndPower() {
	if s.voters < 3 || !s.fullyRepaired() {
		return
	}
	s.losses++
	for i, n := range s.randomMachines(s.voters) {
		n.crash()
		if i < (s.voters-1)/2 {
			n.wipeDisk()
		}
		s.schedule(s.randomDuration(50, 2500), n.restart)
	}
}

// losePowerWhileWriting slows the disks, and has all machines lose power over and over.
func (s *simulation) losePowerWhileWriting() {
	s.powerLossOnly, s.writeDuration = true, 100*time.Millisecond
}

// heal ends all faults.
func (s *simulation) heal() {
	s.faultsEnabled, s.loss, s.damageSnapshot = false, 0, nil
	clear(s.partitioned)
	for _, n := range s.nodes {
		n.frozenUntil, n.stallUntil = 0, 0
		n.restart()
	}
}
