// Package scale measures what control costs by the size of a fleet: hollow daemons and engines share a few
// processes beside real ones, the fleet grows by steps, and slopes are drawn through what the steps cost.
package scale

import (
	"fmt"
	"strings"
	"time"
)

// Size is one step of the fleet.
type Size struct {
	// Daemons counts all, the core's among them.
	Daemons int
	Core    int
	Engines int
	// Paths, Models and Adapters are the bundle's; adapters are spread over the models.
	Paths, Models, Adapters int
	Zones                   int
}

// Full is the size to design for.
func Full() Size {
	return Size{Daemons: 370, Core: 3, Engines: 1400, Paths: 1000, Models: 140, Adapters: 87000, Zones: 16}
}

func (s Size) String() string {
	return fmt.Sprintf("%d daemons (%d of the core), %d engines, %d paths, %d models, %d adapters, %d zones", s.Daemons, s.Core, s.Engines, s.Paths, s.Models, s.Adapters, s.Zones)
}

const (
	// perHost is how many hollow daemons share a process: a fleet where all speak with all opens two
	// connections to each peer, and each process may have 20,000 descriptors.
	perHost = 24
	// realEdges is how many routing daemons are processes of their own, to hold the hollow ones against.
	realEdges = 3
)

// Machine is what the machine has.
type Machine struct {
	MemoryBytes uint64
	// Files is how many descriptors a process may have.
	Files uint64
}

// Limits is what a run may take of it.
type Limits struct {
	MemoryShare float64
	Processes   int
	// Cores is how many processors the whole run may keep busy, averaged over some seconds.
	Cores float64
}

// DefaultLimits leaves the machine to others.
func DefaultLimits() Limits { return Limits{MemoryShare: 0.5, Processes: 200, Cores: 4} }

// Cost is what a daemon takes of the machine, as far as is known before a step.
type Cost struct {
	// DaemonBytes is resident memory of a hollow daemon without peers, PeerBytes what each peer adds, ProcessBytes a process alone.
	DaemonBytes, PeerBytes, ProcessBytes float64
	// DaemonCores and PeerCores are the same of processor time.
	DaemonCores, PeerCores float64
	// PeerFiles is how many descriptors a daemon opens for each peer.
	PeerFiles float64
}

// FirstCost is taken before anything was measured. It errs on the large side in memory and descriptors; of
// processor time it assumes nothing, since the run is cut short where it takes too much.
func FirstCost() Cost {
	return Cost{DaemonBytes: 8 << 20, PeerBytes: 20 << 10, ProcessBytes: 24 << 20, PeerFiles: 1}
}

// Need is what a step takes.
type Need struct {
	Bytes     float64
	Processes int
	Cores     float64
	// FilesOfOne is what the process with the most descriptors needs.
	FilesOfOne float64
}

// NeedOf works out what a step would take.
func NeedOf(size Size, cost Cost) Need {
	peers, daemons := float64(size.Daemons-1), float64(size.Daemons)
	hollow := max(0, size.Daemons-size.Core-realEdges)
	hosts := (hollow + perHost - 1) / perHost
	need := Need{Processes: size.Core + min(realEdges, size.Daemons-size.Core) + hosts + 1}
	need.Bytes = daemons*(cost.DaemonBytes+peers*cost.PeerBytes) + float64(need.Processes)*cost.ProcessBytes
	need.Cores = daemons * (cost.DaemonCores + peers*cost.PeerCores)
	need.FilesOfOne = float64(min(perHost, max(1, hollow))) * (peers*cost.PeerFiles + 8)
	return need
}

func (n Need) String() string {
	return fmt.Sprintf("%.1f GB of memory, %d processes, %.1f cores, %.0f descriptors in one process", n.Bytes/(1<<30), n.Processes, n.Cores, n.FilesOfOne)
}

// Refusal says why a step would not fit; it is empty where it does.
func Refusal(need Need, machine Machine, limits Limits) string {
	var over []string
	if most := limits.MemoryShare * float64(machine.MemoryBytes); need.Bytes > most {
		over = append(over, fmt.Sprintf("%.1f GB of memory, and %.1f may be used", need.Bytes/(1<<30), most/(1<<30)))
	}
	if need.Processes > limits.Processes {
		over = append(over, fmt.Sprintf("%d processes, and %d may be started", need.Processes, limits.Processes))
	}
	if need.Cores > limits.Cores {
		over = append(over, fmt.Sprintf("%.1f cores, and %.1f may be kept busy", need.Cores, limits.Cores))
	}
	if need.FilesOfOne > float64(machine.Files) {
		over = append(over, fmt.Sprintf("%.0f descriptors in one process, and it may have %d", need.FilesOfOne, machine.Files))
	}
	if len(over) == 0 {
		return ""
	}
	return "it would need " + strings.Join(over, "; ")
}

// Bounds are what control may cost a daemon at the size to design for.
type Bounds struct {
	Cores          float64
	MemoryMB       float64
	KBPerSecond    float64
	InForceWithin  time.Duration
	MachinesAside  int
	ChangesPerDay  int
	RestartsPerDay int
}

// DesignBounds are the users'.
func DesignBounds() Bounds {
	return Bounds{Cores: 0.026, MemoryMB: 32, KBPerSecond: 14, InForceWithin: 7 * time.Second, MachinesAside: 13, ChangesPerDay: 1400, RestartsPerDay: 210}
}
