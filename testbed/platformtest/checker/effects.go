package checker

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// effect is one outcome that shows which version of the configuration a machine used.
type effect struct {
	attempt *history.Attempt
	at      clock.Mark
	effectKey
}

// effectKey is what decides which versions allow an outcome.
type effectKey struct {
	host, path, key string
	// service is where it ran; empty for a refusal.
	service string
	// tenant is the name under which it ran; anyTenant: the name shows nothing, as no version allows it.
	tenant    string
	anyTenant bool
	// status is that of a refusal.
	status int
}

// ran says whether the outcome is an execution.
func (k effectKey) ran() bool { return k.service != "" }

// allowedBy says whether a configuration allows the outcome.
func (k effectKey) allowedBy(config *protocol.Config) bool {
	route := config.Find(k.host, k.path)
	switch {
	case !k.ran() && k.status == http.StatusNotFound:
		return route == nil
	case !k.ran():
		return config.HasTenants() && (route == nil || !config.Admits(route, k.key))
	case route == nil || !slices.Contains(route.Services(), k.service):
		return false
	case k.anyTenant:
		return config.Admits(route, k.key)
	}
	return config.Names(route, k.key, k.tenant)
}

// versionsAllowing lists the versions, as indexes, that allow an outcome.
func (b *index) versionsAllowing(k effectKey) (places []int) {
	if known, ok := b.versionCache[k]; ok {
		return known
	}
	for i, version := range b.versions {
		if k.allowedBy(version.Config) {
			places = append(places, i)
		}
	}
	b.versionCache[k] = places
	return places
}

// showsVersion lists the statuses of refusals that show a version: no route, or no key.
var showsVersion = []int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}

// effects lists the effects of all attempts.
func (b *index) effects() []effect {
	var out []effect
	for _, attempt := range b.Attempts {
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			if arrival.Ran() {
				out = append(out, b.execution(attempt, arrival))
			}
		}
		if answeredByDaemon(attempt) && slices.Contains(showsVersion, attempt.Status) {
			out = append(out, effect{attempt, attempt.Ended, effectKey{host: attempt.Host, path: pathOf(attempt.URI), key: attempt.Key, status: attempt.Status}})
		}
	}
	return out
}

// execution is the effect of an execution. A tenant that no version names shows nothing of the version.
func (b *index) execution(attempt *history.Attempt, arrival *history.Arrival) effect {
	k := effectKey{host: attempt.Host, path: pathOf(attempt.URI), key: attempt.Key, service: arrival.Service}
	k.anyTenant = len(arrival.Tenants) != 1 || !b.hasKeyInAnyVersion(arrival.Tenants[0], attempt.Key)
	if !k.anyTenant {
		k.tenant = arrival.Tenants[0]
	}
	return effect{attempt, arrival.At, k}
}

// what describes the outcome.
func (k effectKey) what() string {
	if !k.ran() {
		return fmt.Sprintf("was answered %d", k.status)
	}
	if k.key == "" {
		return "ran at " + k.service
	}
	return fmt.Sprintf("ran at %s with the key %s", k.service, k.key)
}

// configInForceLate checks that an acknowledged configuration is in force within its bound.
func (b *index) configInForceLate() Finding {
	f := Finding{Rule: "CONFIG in force late"}
	for _, effect := range b.effects() {
		f.Checked++
		oldest := b.oldestValid(effect.attempt.Began, b.applyBound(effect.attempt.Began))
		places := b.versionsAllowing(effect.effectKey)
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
		if places := b.versionsAllowing(one.effectKey); one.service != "" && len(places) > 0 && places[0] > newest[i] {
			newest[i], by[i] = places[0], i
		}
	}
	for _, later := range items {
		places := b.versionsAllowing(later.effectKey)
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
		if effect.service == "" || len(b.versionsAllowing(effect.effectKey)) > 0 {
			continue
		}
		for _, other := range b.rejected {
			if effect.allowedBy(other.Config) {
				f.violation("%s %s, which only %d allows, and that was refused", effect.attempt.AttemptID, effect.what(), other.Generation)
				break
			}
		}
	}
	return f
}
