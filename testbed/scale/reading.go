package scale

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Each is what one daemon of a kind cost in a window, on average over those of its kind.
type Each struct {
	Count int `json:"count"`
	// Cores is processor time by time; of hollow ones their processes' divided by their number.
	Cores float64 `json:"cores"`
	// Sent and Received are bytes a second over links to other daemons.
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
	// MostSent is of the one that sent most.
	MostSent float64 `json:"mostSent"`
	// Made and Served are calls a second, Opened connections made a second.
	Made   float64 `json:"made"`
	Served float64 `json:"served"`
	Opened float64 `json:"opened"`
	// Resident, Peak and Own are megabytes, Files descriptors; of hollow ones their processes' divided. Own leaves out
	// the pages of the program's file, which processes share.
	Resident float64 `json:"resident"`
	Own      float64 `json:"own"`
	Peak     float64 `json:"peak"`
	Files    float64 `json:"files"`
}

// Row is one window of one step.
type Row struct {
	Build   string        `json:"build"`
	Size    Size          `json:"size"`
	Phase   string        `json:"phase"`
	Seconds float64       `json:"seconds"`
	Kinds   map[Kind]Each `json:"kinds,omitempty"`
	// Beats, Polls and Orders are what engines did and were asked, a second.
	Beats  float64 `json:"beats,omitempty"`
	Polls  float64 `json:"polls,omitempty"`
	Orders float64 `json:"orders,omitempty"`
	// Times are what was waited for, in seconds; Missed counts those that did not come.
	Times  []float64 `json:"times,omitempty"`
	Missed int       `json:"missed,omitempty"`
	// Cut says why the step was cut short.
	Cut string `json:"cut,omitempty"`
}

// The phases.
const (
	PhaseStart   = "start"
	PhaseRest    = "rest"
	PhaseLeave   = "leave"
	PhaseChange  = "change"
	PhaseRestart = "restart"
	PhaseRefused = "refused"
)

// reading is all counters and usages at one moment.
type reading struct {
	at       time.Time
	counters []map[string]float64
	usage    []Usage
	own      Usage
}

// countersOf reads a daemon's counters page.
func (f *fleet) countersOf(m *member) map[string]float64 {
	var text string
	if _, err := f.get(m, operatorapi.PathCounters, &text); err != nil {
		return nil
	}
	out := map[string]float64{}
	for line := range strings.Lines(text) {
		var name string
		var value float64
		if _, err := fmt.Sscan(line, &name, &value); err == nil {
			out[name] = value
		}
	}
	return out
}

func (f *fleet) readCounters() []map[string]float64 {
	out := make([]map[string]float64, len(f.members))
	f.forAll(func(at int, m *member) { out[at] = f.countersOf(m) })
	return out
}

func (f *fleet) readUsage() ([]Usage, Usage) {
	out := make([]Usage, 0, len(f.processes))
	for _, p := range f.processes {
		out = append(out, usageOf(p.cmd.Process.Pid))
	}
	return out, usageOf(os.Getpid())
}

// open reads the counters first and the processors last, so that the reading itself is not in the window.
func (f *fleet) open() reading {
	r := reading{counters: f.readCounters()}
	r.usage, r.own = f.readUsage()
	r.at = time.Now()
	return r
}

// close reads the other way round.
func (f *fleet) close() reading {
	r := reading{at: time.Now()}
	r.usage, r.own = f.readUsage()
	r.counters = f.readCounters()
	return r
}

// kindOf says how a daemon runs.
func (f *fleet) kindOf(m, leader *member) Kind {
	switch {
	case m == leader:
		return Leader
	case m.core:
		return Follower
	case m.process.host:
		return Hollow
	}
	return Edge
}

// between is what each kind cost from one reading to the next. Daemons that could not be read, or began anew, are left out.
func (f *fleet) between(a, b reading, leader *member) map[Kind]Each {
	seconds := b.at.Sub(a.at).Seconds()
	sums, counted := map[Kind]Each{}, map[Kind]float64{}
	if leader == nil {
		// Leadership is on its way, so what a leader costs can't be told apart.
		return sums
	}
	for at, m := range f.members {
		kind := f.kindOf(m, leader)
		sum := sums[kind]
		sum.Count++
		before, after := a.counters[at], b.counters[at]
		if before != nil && after != nil && after["fellow_bytes_sent"] >= before["fellow_bytes_sent"] {
			rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
			counted[kind]++
			sum.Sent += rate("fellow_bytes_sent")
			sum.Received += rate("fellow_bytes_received")
			sum.Made += rate("fellow_calls_made")
			sum.Served += rate("fellow_calls_served")
			sum.Opened += rate("fellow_connections_opened")
			sum.MostSent = max(sum.MostSent, rate("fellow_bytes_sent"))
		}
		sums[kind] = sum
	}
	for at, p := range f.processes {
		kind := f.kindOf(p.members[0], leader)
		sum := sums[kind]
		sum.Cores += (b.usage[at].Seconds - a.usage[at].Seconds) / seconds
		sum.Resident += float64(b.usage[at].Resident) / (1 << 20)
		sum.Peak += float64(b.usage[at].Peak) / (1 << 20)
		sum.Own += float64(b.usage[at].Own) / (1 << 20)
		sum.Files += float64(b.usage[at].Files)
		sums[kind] = sum
	}
	for kind, sum := range sums {
		n, c := float64(sum.Count), max(1, counted[kind])
		sum.Sent, sum.Received, sum.Made, sum.Served, sum.Opened = sum.Sent/c, sum.Received/c, sum.Made/c, sum.Served/c, sum.Opened/c
		sum.Cores, sum.Resident, sum.Peak, sum.Own, sum.Files = sum.Cores/n, sum.Resident/n, sum.Peak/n, sum.Own/n, sum.Files/n
		sums[kind] = sum
	}
	return sums
}

// total is the processor time of all processes and the runner's own.
func (f *fleet) total() float64 {
	sum, _ := glance(os.Getpid())
	for _, p := range f.running() {
		seconds, _ := glance(p.cmd.Process.Pid)
		sum += seconds
	}
	return sum
}

func middle(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
