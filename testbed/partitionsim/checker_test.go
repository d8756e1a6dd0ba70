package partitionsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

const (
	// inTouchAfter is how long a machine must have been without trouble to be held to bounds of time, and applyBound
	// within what time of its acknowledgement a configuration must then be in force.
	inTouchAfter, applyBound = 3 * time.Second, 2 * time.Second
	// readyBound is how soon one in touch must be ready.
	readyBound = 4 * time.Second
	// inFlight is how long what was said before a cut may still be on its way or on a disk.
	inFlight       = 60 * time.Millisecond
	mostViolations = 5
	lookEvery      = 20 * time.Millisecond
)

// acknowledgement is when a control daemon first acknowledged a configuration or closures.
type acknowledgement struct {
	at    clock.Mark
	force membership.InForce
}

// seenByChecker is what the checker has seen of one incarnation of a node.
type seenByChecker struct {
	force membership.InForce
	ready bool
	// servesSince is when it was last ready while in touch, or began to be in touch.
	servesSince clock.Mark
	// names are the sources that are cut off and are named as the leader or the relay, with the moment since when.
	names map[string]clock.Mark
}

// checker keeps what was acknowledged, refused and seen.
type checker struct {
	violations []string
	// rules counts, by rule, how often it was broken.
	rules map[string]int
	// only leaves one rule, where a break of it is looked for; all count where it is empty.
	only string
	acks []acknowledgement
	// taken and refused are the calls that had a clear answer, by digest.
	taken, refused map[string]bool
	// coreDisruptedAt is when the control daemons or the links between them were last disrupted, disruptedAt each node's.
	coreDisruptedAt clock.Mark
	disruptedAt     map[int]clock.Mark
	// isolated are the control daemons that are cut off from all others, since isolatedSince.
	isolated      []*node
	isolatedSince clock.Mark
	ended         bool
	// What was checked.
	looked, settled, clear, unclearIsolated, reads, left, stayed int
	slowest                                                      time.Duration
}

func newChecker() checker {
	return checker{rules: map[string]int{}, taken: map[string]bool{}, refused: map[string]bool{}, disruptedAt: map[int]clock.Mark{}}
}

func (w *world) fault(rule, format string, args ...any) {
	if w.only != "" && w.only != rule {
		return
	}
	w.rules[rule]++
	if len(w.violations) < mostViolations {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s: ", time.Duration(w.now-clock.Mark(time.Hour)).Round(time.Millisecond), rule)+fmt.Sprintf(format, args...))
	}
}

// The rules.
const (
	ruleOld      = "one in touch serves what was replaced"
	ruleReady    = "one becomes ready on old state"
	ruleConfirm  = "one takes for confirmed what was replaced"
	ruleBack     = "one goes back"
	ruleIsolated = "one that is cut off answers for good"
	ruleAnswer   = "an answer is contradicted"
	ruleRead     = "an old configuration is read back"
	ruleLate     = "a call gets no answer in time"
	ruleUnready  = "one in touch is not ready"
	ruleStays    = "one stays with a source that is cut off"
)

// disrupted records a disruption of nodes; between two of the core, or of one of them, it is the core's.
func (w *world) disrupted(some ...*node) {
	core := true
	for _, n := range some {
		w.disruptedAt[n.index] = w.now
		core = core && n.control
	}
	if core {
		w.coreDisruptedAt = w.now
	}
}

func (w *world) acknowledged(configuration, closure ident.Version) {
	w.acks = append(w.acks, acknowledgement{w.now, membership.InForce{Configuration: configuration, Closure: closure}})
}

// newestAcked is the newest that had been acknowledged by a moment.
func (w *world) newestAcked(by clock.Mark) (out membership.InForce) {
	for _, ack := range w.acks {
		if ack.at <= by {
			out.Configuration, out.Closure = max(out.Configuration, ack.force.Configuration), max(out.Closure, ack.force.Closure)
		}
	}
	return out
}

// isOlder reports whether something in force is older than something else.
func isOlder(force, wanted membership.InForce) bool {
	// Closures count where there is a configuration.
	return force.Configuration < wanted.Configuration || force.Configuration > 0 && force.Closure < wanted.Closure
}

// withMajority lists the control daemons that reach, both ways, over half of the core.
func (w *world) withMajority() (out []*node) {
	for _, n := range w.core() {
		if !n.running() {
			continue
		}
		reached := 0
		for _, other := range w.core() {
			if other.running() && w.path(n, other) {
				reached++
			}
		}
		if reached > w.controls/2 {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) running() bool { return n.up && n.world.now >= n.frozenUntil }

// inTouch says whether a node is bound by times now.
func (w *world) inTouch(n *node, majority []*node) bool {
	if !n.running() || len(majority) <= w.controls/2 || w.now.Since(w.coreDisruptedAt) < inTouchAfter || w.now.Since(w.disruptedAt[n.index]) < inTouchAfter {
		return false
	}
	return !slices.ContainsFunc(majority, func(other *node) bool { return !w.path(n, other) })
}

// look checks all nodes, again and again.
func (w *world) look() {
	majority := w.withMajority()
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		force := n.force()
		if before := n.checked.force; force.Configuration < before.Configuration || force.Closure < before.Closure {
			w.fault(ruleBack, "%s from %+v to %+v", n.name, before, force)
		}
		n.checked.force = force
		w.lookAtSources(n)
		if !w.inTouch(n, majority) {
			n.checked.servesSince = 0
			continue
		}
		w.looked++
		ready := n.view.NotReadyReason(n.clock(), force) == ""
		// One that starts while all its seeds stand still or are cut off from it can know of nobody else.
		lone := !n.view.CaughtUp && !slices.ContainsFunc(n.seeds, func(seed string) bool { return w.at(seed).running() && w.path(n, w.at(seed)) })
		// Before the first configuration nobody can be ready.
		if ready || lone || len(w.acks) == 0 || n.checked.servesSince == 0 {
			n.checked.servesSince = w.now
		}
		wanted := w.newestAcked(w.now - clock.Mark(applyBound))
		if ready && isOlder(force, wanted) {
			w.fault(ruleOld, "%s has %+v in force, and %+v was acknowledged %v ago", n.name, force, wanted, applyBound)
		}
		if w.now.Since(n.checked.servesSince) > readyBound {
			w.fault(ruleUnready, "%s for %v: %s", n.name, w.now.Since(n.checked.servesSince), n.view.NotReadyReason(n.clock(), force))
		}
	}
	w.after(lookEvery, w.look)
}

// rechosen is how long a node may name a source that is cut off after it has left another for it: until its first answer.
const rechosen = 2*heartbeatInterval + inFlight

// lookAtSources checks that a node takes none that is cut off from the group for its leader or its relay, from the time
// on within which it must have left it.
func (w *world) lookAtSources(n *node) {
	if !n.running() || w.now.Since(w.isolatedSince) <= membership.SwitchSourceWithin+inFlight || w.now.Since(w.disruptedAt[n.index]) <= membership.SwitchSourceWithin+inFlight {
		return
	}
	for _, source := range w.isolated {
		if source == n || !source.running() || !w.path(n, source) {
			continue
		}
		w.stayed++
		if n.view.LeaderAddress != source.name && n.view.RelayAddress != source.name {
			delete(n.checked.names, source.name)
			continue
		}
		if n.checked.names == nil {
			n.checked.names = map[string]clock.Mark{}
		}
		since, named := n.checked.names[source.name]
		if !named {
			since = w.now
			n.checked.names[source.name] = since
		}
		// One that was named already when it had to be left was not chosen anew.
		first := w.isolatedSince + clock.Mark(membership.SwitchSourceWithin+inFlight)
		if since < first+2*clock.Mark(lookEvery) || w.now.Since(since) > rechosen {
			w.fault(ruleStays, "%s with %s after %v", n.name, source.name, w.now.Since(w.isolatedSince))
		}
	}
}

// sawView checks a view that a node just took up.
func (w *world) sawView(n *node) {
	force := n.force()
	if n.view.ConfirmedAt > 0 {
		wanted := w.newestAcked(n.view.ConfirmedAt - n.offset - 1)
		if isOlder(force, wanted) {
			w.fault(ruleConfirm, "%s has %+v in force and takes it for all there was %v ago, when %+v was acknowledged", n.name, force, n.clock().Since(n.view.ConfirmedAt), wanted)
		}
	}
	if ready := n.view.NotReadyReason(n.clock(), force) == ""; ready && !n.checked.ready {
		n.checked.ready = true
		w.settled++
		wanted := w.newestAcked(w.now - clock.Mark(membership.StaleAfter) - 1)
		if isOlder(force, wanted) {
			w.fault(ruleReady, "%s with %+v in force, and %+v was acknowledged %v ago", n.name, force, wanted, membership.StaleAfter)
		}
	}
}

// wasIsolated reports whether a control daemon was cut off from all others from before a call until now.
func (w *world) wasIsolated(n *node, since clock.Mark) bool {
	return slices.Contains(w.isolated, n) && since > w.isolatedSince+clock.Mark(inFlight)
}

// sawAnswer checks a control daemon's answer to an operator's call.
func (w *world) sawAnswer(n *node, asked, arrived clock.Mark, call operatorapi.ApplyRequest, got operatorapi.ApplyResponse) {
	if w.now < n.frozenUntil {
		return
	}
	// One that stood still answers late, and its operator has long asked another.
	if took := w.now.Since(arrived); n.frozenUntil < arrived {
		w.slowest = max(w.slowest, took)
		if took > operatorPatience {
			w.fault(ruleLate, "%s answered %s after %v", n.name, call.Digest, took)
		}
	}
	if got.Outcome == operatorapi.Unknown {
		if w.wasIsolated(n, asked) {
			w.unclearIsolated++
		}
		return
	}
	w.clear++
	if w.wasIsolated(n, asked) {
		w.fault(ruleIsolated, "%s answers %s with %s", n.name, call.Digest, got.Outcome)
	}
	if got.Outcome == operatorapi.Applied {
		w.taken[call.Digest] = true
		w.acknowledged(got.Version, 0)
	} else {
		w.refused[call.Digest] = true
	}
	if w.taken[call.Digest] && w.refused[call.Digest] {
		w.fault(ruleAnswer, "%s was taken and refused", call.Digest)
	}
}

// sawRead checks a configuration that was read back.
func (w *world) sawRead(n, source *node, asked, arrived clock.Mark, newest, got ident.Version) {
	w.reads++
	if got < newest {
		w.fault(ruleRead, "%s gives version %d by the word of %s, and %d was acknowledged before it was asked", n.name, got, source.name, newest)
	}
	if w.wasIsolated(n, asked) {
		w.fault(ruleIsolated, "%s reads back version %d", n.name, got)
	}
}

// finish checks, after all trouble, that what was answered holds everywhere.
func (w *world) finish() {
	for _, n := range w.core() {
		if !n.up {
			w.fault(ruleAnswer, "%s does not run in the end", n.name)
			continue
		}
		state := n.core.State()
		for _, digest := range keys(w.taken) {
			if _, there := state.Applied(digest); !there {
				w.fault(ruleAnswer, "%s was acknowledged and is not at %s", digest, n.name)
			}
		}
		for _, digest := range keys(w.refused) {
			if _, there := state.Applied(digest); there {
				w.fault(ruleAnswer, "%s was refused and is in force at %s", digest, n.name)
			}
		}
	}
	newest := w.newestAcked(w.now)
	for _, n := range w.nodes {
		if isOlder(n.force(), newest) {
			w.fault(ruleOld, "%s ends with %+v, and %+v was acknowledged", n.name, n.force(), newest)
		}
	}
}

func keys(set map[string]bool) (out []string) {
	for key := range set {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}
