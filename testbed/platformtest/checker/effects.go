package checker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// versionsAllowing lists the versions, as indexes, that allow the outcome of a request: an execution at a service, or a
// 404 where service is empty.
func (b *index) versionsAllowing(host, uri, service string) (places []int) {
	key := host + " " + pathOf(uri) + " " + service
	if known, ok := b.versionCache[key]; ok {
		return known
	}
	defer func() { b.versionCache[key] = places }()
	for i, version := range b.versions {
		if service == "" {
			if version.Config.Find(host, pathOf(uri)) == nil {
				places = append(places, i)
			}
		} else if allows(version.Config, host, uri, service) {
			places = append(places, i)
		}
	}
	return places
}

// effect is one outcome that shows which version of the configuration a machine used.
type effect struct {
	attempt *history.Attempt
	at      clock.Mark
	// service is empty for a 404.
	service string
}

// effects lists the effects of all attempts.
func (b *index) effects() []effect {
	var out []effect
	for _, attempt := range b.Attempts {
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			if arrival.Ran() {
				out = append(out, effect{attempt, arrival.At, arrival.Service})
			}
		}
		if answeredByDaemon(attempt) && attempt.Status == 404 {
			out = append(out, effect{attempt, attempt.Ended, ""})
		}
	}
	return out
}

func (d effect) what() string {
	if d.service == "" {
		return "was answered 404"
	}
	return "ran at " + d.service
}

// configInForceLate checks that an acknowledged configuration is in force within its bound.
func (b *index) configInForceLate() Finding {
	f := Finding{Rule: "CONFIG in force late"}
	for _, effect := range b.effects() {
		f.Checked++
		oldest := b.oldestValid(effect.attempt.Began, b.applyBound(effect.attempt.Began))
		places := b.versionsAllowing(effect.attempt.Host, effect.attempt.URI, effect.service)
		if len(places) == 0 || places[len(places)-1] >= oldest || !b.machineSettled(effect.attempt.Daemon, effect.at) {
			continue
		}
		if !b.coreSettled(effect.at) && b.disrupted(before(effect.at, b.bounds.Contact), effect.at, func(t *history.Disruption) bool { return t.Kind == history.Closing }) {
			continue
		}
		version := b.versions[oldest]
		f.violation("%s %s by %s %v after version %d was acknowledged", effect.attempt.AttemptID, effect.what(), effect.attempt.Daemon,
			effect.attempt.Began.Since(version.Answered).Round(time.Millisecond), version.Generation)
	}
	return f
}

// configReverts checks that no machine goes back to an older configuration.
func (b *index) configReverts() Finding {
	f := Finding{Rule: "CONFIG goes back"}
	effects := b.effects()
	byMachine := map[string][]effect{}
	for _, effect := range effects {
		if effect.service != "" || effect.attempt.Daemon != "" {
			byMachine[effect.attempt.Daemon] = append(byMachine[effect.attempt.Daemon], effect)
		}
	}
	for machine, items := range byMachine {
		for _, incarnation := range b.byIncarnation(machine, items) {
			b.revertIn(&f, machine, incarnation)
		}
	}
	slices.Sort(f.Violations)
	return f
}

// byIncarnation splits the effects of a machine by the incarnations of its process.
func (b *index) byIncarnation(machine string, items []effect) map[int][]effect {
	out := map[int][]effect{}
	for _, one := range items {
		incarnation := 0
		for _, disruption := range b.Disruptions {
			ends := disruption.Machine == machine && slices.Contains([]string{history.Killed, history.Stopped, history.Started, history.UnexpectedExit}, disruption.Kind) || disruption.Kind == history.Closing
			if ends && disruption.From <= one.at {
				incarnation++
			}
		}
		out[incarnation] = append(out[incarnation], one)
	}
	return out
}

// revertIn looks within one incarnation for a request that is handled by an older version than an earlier effect showed.
func (b *index) revertIn(f *Finding, machine string, items []effect) {
	slices.SortStableFunc(items, func(x, y effect) int { return cmp.Compare(x.at, y.at) })
	// newest is, up to each effect, the newest version that any effect showed, by the index of that effect.
	newest, by := make([]int, len(items)), make([]int, len(items))
	for i, one := range items {
		newest[i] = -1
		if i > 0 {
			newest[i], by[i] = newest[i-1], by[i-1]
		}
		if places := b.versionsAllowing(one.attempt.Host, one.attempt.URI, one.service); one.service != "" && len(places) > 0 && places[0] > newest[i] {
			newest[i], by[i] = places[0], i
		}
	}
	for _, later := range items {
		places := b.versionsAllowing(later.attempt.Host, later.attempt.URI, later.service)
		known, _ := slices.BinarySearchFunc(items, later.attempt.Began-clock.Mark(b.bounds.Revert), func(one effect, at clock.Mark) int { return cmp.Compare(one.at, at) })
		if len(places) == 0 || known == 0 {
			continue
		}
		f.Checked++
		if shown := newest[known-1]; places[len(places)-1] < shown {
			f.violation("%s showed version %d, and %v later %s %s", machine, b.versions[shown].Generation,
				later.attempt.Began.Since(items[by[known-1]].at).Round(time.Millisecond), later.attempt.AttemptID, later.what())
		}
	}
}

// configRejectedInForce checks that no refused or invalid configuration is in force.
func (b *index) configRejectedInForce() Finding {
	f := Finding{Rule: "CONFIG refused or invalid in force"}
	f.Checked = len(b.rejected)
	for _, effect := range b.effects() {
		if effect.service == "" || len(b.versionsAllowing(effect.attempt.Host, effect.attempt.URI, effect.service)) > 0 {
			continue
		}
		for _, other := range b.rejected {
			if allows(other.Config, effect.attempt.Host, effect.attempt.URI, effect.service) {
				f.violation("%s %s, which only %d allows, and that was refused", effect.attempt.AttemptID, effect.what(), other.Generation)
				break
			}
		}
	}
	return f
}
