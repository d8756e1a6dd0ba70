package checker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// handled gives the places of the versions that allow what became of a request: a run at a service, or a 404.
func (b *index) handled(host, uri, service string) (places []int) {
	key := host + " " + pathOf(uri) + " " + service
	if known, ok := b.memo[key]; ok {
		return known
	}
	defer func() { b.memo[key] = places }()
	for place, version := range b.versions {
		if service == "" {
			if version.Config.Find(host, pathOf(uri)) == nil {
				places = append(places, place)
			}
		} else if allows(version.Config, host, uri, service) {
			places = append(places, place)
		}
	}
	return places
}

// effect is one thing that shows which version a machine went by.
type effect struct {
	attempt *history.Attempt
	at      clock.Mark
	// service is empty for a 404.
	service string
}

func (b *index) effects() []effect {
	var out []effect
	for _, attempt := range b.Attempts {
		for _, arrival := range b.arrivals[attempt.AttemptID] {
			if arrival.Ran() {
				out = append(out, effect{attempt, arrival.At, arrival.Service})
			}
		}
		if own(attempt) && attempt.Status == 404 {
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

func (b *index) configLate() Finding {
	f := Finding{Rule: "CONFIG in force late"}
	for _, effect := range b.effects() {
		f.Checked++
		oldest := b.oldestValid(effect.attempt.Began, b.applyBound(effect.attempt.Began))
		places := b.handled(effect.attempt.Host, effect.attempt.URI, effect.service)
		if len(places) == 0 || places[len(places)-1] >= oldest || !b.steady(effect.attempt.Daemon, effect.at) {
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

func (b *index) configUnserved() Finding {
	f := Finding{Rule: "CONFIG later routes served"}
	if len(b.versions) == 0 {
		return f
	}
	first := b.versions[0].Config
	type tally struct{ served, all int }
	var early, late tally
	for _, attempt := range b.Attempts {
		if attempt.Absent || attempt.Ended == 0 || !b.calm(attempt.Began, attempt.Ended) {
			continue
		}
		count := &late
		if first.Find(attempt.Host, pathOf(attempt.URI)) != nil {
			count = &early
		}
		count.all++
		if attempt.Success() {
			count.served++
		}
	}
	f.Checked = late.all
	if late.all >= 20 && early.all > 0 && 4*late.served*early.all < early.served*late.all {
		f.violation("%d of %d were served on routes added later, and %d of %d on the first", late.served, late.all, early.served, early.all)
	}
	return f
}

func (b *index) configBack() Finding {
	f := Finding{Rule: "CONFIG goes back"}
	effects := b.effects()
	byMachine := map[string][]effect{}
	for _, effect := range effects {
		if effect.service != "" || effect.attempt.Daemon != "" {
			byMachine[effect.attempt.Daemon] = append(byMachine[effect.attempt.Daemon], effect)
		}
	}
	for machine, list := range byMachine {
		for _, incarnation := range b.byIncarnation(machine, list) {
			b.revertIn(&f, machine, incarnation)
		}
	}
	slices.Sort(f.Violations)
	return f
}

// byIncarnation parts what a machine showed by the lives of its processes.
func (b *index) byIncarnation(machine string, list []effect) map[int][]effect {
	out := map[int][]effect{}
	for _, one := range list {
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

// revertIn looks within one life for a request that is handled by an older version than one sent well before showed.
func (b *index) revertIn(f *Finding, machine string, list []effect) {
	slices.SortStableFunc(list, func(x, y effect) int { return cmp.Compare(x.at, y.at) })
	// newest is, up to each deed, the newest version that an engine had seen the effect of.
	newest, by := make([]int, len(list)), make([]int, len(list))
	for place, one := range list {
		newest[place] = -1
		if place > 0 {
			newest[place], by[place] = newest[place-1], by[place-1]
		}
		if places := b.handled(one.attempt.Host, one.attempt.URI, one.service); one.service != "" && len(places) > 0 && places[0] > newest[place] {
			newest[place], by[place] = places[0], place
		}
	}
	for _, later := range list {
		places := b.handled(later.attempt.Host, later.attempt.URI, later.service)
		known, _ := slices.BinarySearchFunc(list, later.attempt.Began-clock.Mark(b.bounds.Revert), func(one effect, at clock.Mark) int { return cmp.Compare(one.at, at) })
		if len(places) == 0 || known == 0 {
			continue
		}
		f.Checked++
		if shown := newest[known-1]; places[len(places)-1] < shown {
			f.violation("%s showed version %d, and %v later %s %s", machine, b.versions[shown].Generation,
				later.attempt.Began.Since(list[by[known-1]].at).Round(time.Millisecond), later.attempt.AttemptID, later.what())
		}
	}
}

func (b *index) configForeign() Finding {
	f := Finding{Rule: "CONFIG refused or invalid in force"}
	f.Checked = len(b.rejected)
	for _, effect := range b.effects() {
		if effect.service == "" || len(b.handled(effect.attempt.Host, effect.attempt.URI, effect.service)) > 0 {
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

func (b *index) configAcks() Finding {
	f := Finding{Rule: "CONFIG acknowledged wrongly"}
	byBase := map[uint64]*history.Change{}
	for _, change := range b.Changes {
		f.Checked++
		if change.Outcome != history.Acknowledged {
			continue
		}
		if change.Fault != "" {
			f.violation("%d is invalid (%s) and was acknowledged by %s", change.Generation, change.Fault, change.By)
			continue
		}
		if other := byBase[change.Base]; other != nil && (other.Generation != change.Generation || other.Digest() != change.Digest()) {
			f.violation("%d and %d both build on %d and were acknowledged", other.Generation, change.Generation, change.Base)
		}
		byBase[change.Base] = change
	}
	return f
}

// Same says whether two configurations mean the same: the order of their routes and services does not count.
func Same(x, y *protocol.Config) bool {
	return reflect.DeepEqual(canonical(x), canonical(y))
}

func canonical(config *protocol.Config) any {
	var out map[string]any
	if err := json.Unmarshal(config.Encode(), &out); err != nil {
		panic("broken invariant: a configuration cannot be read: " + err.Error())
	}
	for _, name := range []string{"route-table", "backends"} {
		byLabel := map[string]any{}
		list, _ := out[name].([]any)
		for _, item := range list {
			if fields, ok := item.(map[string]any); ok {
				byLabel[fmt.Sprint(fields["label"])] = fields
			}
		}
		out[name] = byLabel
	}
	return out
}

func (b *index) newestAcked() *history.Change {
	var newest *history.Change
	for _, version := range b.versions {
		if version.Outcome == history.Acknowledged {
			newest = version
		}
	}
	return newest
}

// readFault says what is wrong with the configuration as read at the end.
func (b *index) readFault(back history.ReadBack) string {
	newest := b.newestAcked()
	switch {
	case newest == nil:
		return ""
	case back.Err != "" || back.Config == nil:
		return "it did not come: " + back.Err
	case back.Config.Generation < newest.Generation:
		return fmt.Sprintf("version %d came, and %d was acknowledged", back.Config.Generation, newest.Generation)
	}
	for _, version := range b.versions {
		if version.Generation == back.Config.Generation && Same(version.Config, back.Config) {
			return ""
		}
	}
	return fmt.Sprintf("version %d is not what was sent under its number", back.Config.Generation)
}

func (b *index) configRead() Finding {
	f := Finding{Rule: "CONFIG read back"}
	if len(b.ReadBacks) == 0 {
		return f
	}
	f.Checked = 1
	if fault := b.readFault(b.ReadBacks[len(b.ReadBacks)-1]); fault != "" {
		f.violation("%s", fault)
	}
	return f
}

func (b *index) closing() *history.Disruption {
	for _, disruption := range b.Disruptions {
		if disruption.Kind == history.Closing {
			return disruption
		}
	}
	return nil
}

func (b *index) lostClosing() Finding {
	f := Finding{Rule: "LOST after the closing fault"}
	if b.closing() == nil || len(b.ReadBacks) == 0 {
		return f
	}
	f.Checked = 1
	if fault := b.readFault(b.ReadBacks[len(b.ReadBacks)-1]); fault != "" {
		f.violation("%s", fault)
	}
	return f
}

func (b *index) acks() Finding {
	f := Finding{Rule: "Acks"}
	for _, change := range b.Changes {
		if change.Fault != "" || change.Outcome == history.Refused || change.Config == nil {
			continue
		}
		f.Checked++
		bound := b.bounds.Ack + time.Duration(len(change.Config.Routes))*3*time.Millisecond
		end := change.Answered
		if change.Outcome == history.Unclear || end == 0 {
			end = b.Ended
		}
		if end.Since(change.Began) <= bound {
			continue
		}
		// It counts only where one stretch of that length was undisturbed.
		if b.calmStretch(change.Began, end, bound) {
			f.violation("version %d lacked an acknowledgement after %v", change.Generation, end.Since(change.Began).Round(time.Millisecond))
		}
	}
	return f
}

// calmStretch says whether a span holds a stretch of some length with nothing wrong.
func (b *index) calmStretch(from, to clock.Mark, length time.Duration) bool {
	begin := from
	for _, disruption := range b.Disruptions {
		if !disruption.Core && disruption.Kind != history.Link && disruption.Kind != history.Closing {
			continue
		}
		if disruption.Until != 0 && disruption.Until+clock.Mark(b.bounds.Contact) <= begin || disruption.From >= to {
			continue
		}
		if disruption.From.Since(begin) > length {
			return true
		}
		if disruption.Until == 0 {
			return false
		}
		begin = max(begin, disruption.Until+clock.Mark(b.bounds.Contact))
	}
	return to.Since(begin) > length
}

func (b *index) leavingAcks() Finding {
	f := Finding{Rule: "Acks of leaving"}
	late := []string{}
	for _, incarnation := range b.Incarnations {
		if incarnation.DrainRequested == 0 || incarnation.Crashed || !b.calm(incarnation.DrainRequested, incarnation.DrainRequested+clock.Mark(b.bounds.Ack)) {
			continue
		}
		f.Checked++
		if incarnation.DrainAcked == 0 || incarnation.DrainAcked.Since(incarnation.DrainRequested) > b.bounds.Ack {
			late = append(late, incarnation.Engine+" was not told in time that its leaving is known")
		}
	}
	if len(late)*5 > f.Checked {
		f.Violations = late
	}
	return f
}
