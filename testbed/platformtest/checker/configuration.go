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
func (b *bench) handled(host, uri, service string) (places []int) {
	key := host + " " + pathOf(uri) + " " + service
	if known, ok := b.memo[key]; ok {
		return known
	}
	defer func() { b.memo[key] = places }()
	for place, version := range b.versions {
		if service == "" {
			if version.Whole.Find(host, pathOf(uri)) == nil {
				places = append(places, place)
			}
		} else if allows(version.Whole, host, uri, service) {
			places = append(places, place)
		}
	}
	return places
}

// deed is one thing that shows which version a machine went by.
type deed struct {
	try *history.Try
	at  clock.Mark
	// service is empty for a 404.
	service string
}

func (b *bench) deeds() []deed {
	var out []deed
	for _, try := range b.Tries {
		for _, arrival := range b.arrivals[try.Attempt] {
			if arrival.Ran() {
				out = append(out, deed{try, arrival.At, arrival.Service})
			}
		}
		if own(try) && try.Status == 404 {
			out = append(out, deed{try, try.Ended, ""})
		}
	}
	return out
}

func (d deed) what() string {
	if d.service == "" {
		return "was answered 404"
	}
	return "ran at " + d.service
}

func (b *bench) configLate() Finding {
	f := Finding{Rule: "CONFIG in force late"}
	for _, deed := range b.deeds() {
		f.Checked++
		oldest := b.due(deed.try.Began, b.applyBound(deed.try.Began))
		places := b.handled(deed.try.Host, deed.try.URI, deed.service)
		if len(places) == 0 || places[len(places)-1] >= oldest || !b.steady(deed.try.Daemon, deed.at) {
			continue
		}
		if !b.settled(deed.at) && b.troubled(before(deed.at, b.bounds.Contact), deed.at, func(t *history.Trouble) bool { return t.Kind == history.Closing }) {
			continue
		}
		version := b.versions[oldest]
		f.fault("%s %s by %s %v after version %d was acknowledged", deed.try.Attempt, deed.what(), deed.try.Daemon,
			deed.try.Began.Since(version.Answered).Round(time.Millisecond), version.Generation)
	}
	return f
}

func (b *bench) configUnserved() Finding {
	f := Finding{Rule: "CONFIG later routes served"}
	if len(b.versions) == 0 {
		return f
	}
	first := b.versions[0].Whole
	type tally struct{ served, all int }
	var early, late tally
	for _, try := range b.Tries {
		if try.Absent || try.Ended == 0 || !b.calm(try.Began, try.Ended) {
			continue
		}
		count := &late
		if first.Find(try.Host, pathOf(try.URI)) != nil {
			count = &early
		}
		count.all++
		if try.Success() {
			count.served++
		}
	}
	f.Checked = late.all
	if late.all >= 20 && early.all > 0 && 4*late.served*early.all < early.served*late.all {
		f.fault("%d of %d were served on routes added later, and %d of %d on the first", late.served, late.all, early.served, early.all)
	}
	return f
}

func (b *bench) configBack() Finding {
	f := Finding{Rule: "CONFIG goes back"}
	deeds := b.deeds()
	byMachine := map[string][]deed{}
	for _, deed := range deeds {
		if deed.service != "" || deed.try.Daemon != "" {
			byMachine[deed.try.Daemon] = append(byMachine[deed.try.Daemon], deed)
		}
	}
	for machine, list := range byMachine {
		for _, life := range b.byLife(machine, list) {
			b.backIn(&f, machine, life)
		}
	}
	slices.Sort(f.Violations)
	return f
}

// byLife parts what a machine showed by the lives of its processes.
func (b *bench) byLife(machine string, list []deed) map[int][]deed {
	out := map[int][]deed{}
	for _, one := range list {
		life := 0
		for _, trouble := range b.Troubles {
			ends := trouble.Machine == machine && slices.Contains([]string{history.Killed, history.Stopped, history.Started, history.OwnEnd}, trouble.Kind) || trouble.Kind == history.Closing
			if ends && trouble.From <= one.at {
				life++
			}
		}
		out[life] = append(out[life], one)
	}
	return out
}

// backIn looks within one life for a request that is handled by an older version than one sent well before showed.
func (b *bench) backIn(f *Finding, machine string, list []deed) {
	slices.SortStableFunc(list, func(x, y deed) int { return cmp.Compare(x.at, y.at) })
	// newest is, up to each deed, the newest version that an engine had seen the effect of.
	newest, by := make([]int, len(list)), make([]int, len(list))
	for place, one := range list {
		newest[place] = -1
		if place > 0 {
			newest[place], by[place] = newest[place-1], by[place-1]
		}
		if places := b.handled(one.try.Host, one.try.URI, one.service); one.service != "" && len(places) > 0 && places[0] > newest[place] {
			newest[place], by[place] = places[0], place
		}
	}
	for _, later := range list {
		places := b.handled(later.try.Host, later.try.URI, later.service)
		known, _ := slices.BinarySearchFunc(list, later.try.Began-clock.Mark(b.bounds.Revert), func(one deed, at clock.Mark) int { return cmp.Compare(one.at, at) })
		if len(places) == 0 || known == 0 {
			continue
		}
		f.Checked++
		if shown := newest[known-1]; places[len(places)-1] < shown {
			f.fault("%s showed version %d, and %v later %s %s", machine, b.versions[shown].Generation,
				later.try.Began.Since(list[by[known-1]].at).Round(time.Millisecond), later.try.Attempt, later.what())
		}
	}
}

func (b *bench) configForeign() Finding {
	f := Finding{Rule: "CONFIG refused or invalid in force"}
	f.Checked = len(b.others)
	for _, deed := range b.deeds() {
		if deed.service == "" || len(b.handled(deed.try.Host, deed.try.URI, deed.service)) > 0 {
			continue
		}
		for _, other := range b.others {
			if allows(other.Whole, deed.try.Host, deed.try.URI, deed.service) {
				f.fault("%s %s, which only %d allows, and that was refused", deed.try.Attempt, deed.what(), other.Generation)
				break
			}
		}
	}
	return f
}

func (b *bench) configAcks() Finding {
	f := Finding{Rule: "CONFIG acknowledged wrongly"}
	byBase := map[uint64]*history.Change{}
	for _, change := range b.Changes {
		f.Checked++
		if change.Outcome != history.Acknowledged {
			continue
		}
		if change.Fault != "" {
			f.fault("%d is invalid (%s) and was acknowledged by %s", change.Generation, change.Fault, change.By)
			continue
		}
		if other := byBase[change.Base]; other != nil && (other.Generation != change.Generation || other.Digest() != change.Digest()) {
			f.fault("%d and %d both build on %d and were acknowledged", other.Generation, change.Generation, change.Base)
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

func (b *bench) newestAcked() *history.Change {
	var newest *history.Change
	for _, version := range b.versions {
		if version.Outcome == history.Acknowledged {
			newest = version
		}
	}
	return newest
}

// readFault says what is wrong with the configuration as read at the end.
func (b *bench) readFault(back history.ReadBack) string {
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
		if version.Generation == back.Config.Generation && Same(version.Whole, back.Config) {
			return ""
		}
	}
	return fmt.Sprintf("version %d is not what was sent under its number", back.Config.Generation)
}

func (b *bench) configRead() Finding {
	f := Finding{Rule: "CONFIG read back"}
	if len(b.ReadBacks) == 0 {
		return f
	}
	f.Checked = 1
	if fault := b.readFault(b.ReadBacks[len(b.ReadBacks)-1]); fault != "" {
		f.fault("%s", fault)
	}
	return f
}

func (b *bench) closing() *history.Trouble {
	for _, trouble := range b.Troubles {
		if trouble.Kind == history.Closing {
			return trouble
		}
	}
	return nil
}

func (b *bench) lostClosing() Finding {
	f := Finding{Rule: "LOST after the closing fault"}
	if b.closing() == nil || len(b.ReadBacks) == 0 {
		return f
	}
	f.Checked = 1
	if fault := b.readFault(b.ReadBacks[len(b.ReadBacks)-1]); fault != "" {
		f.fault("%s", fault)
	}
	return f
}

func (b *bench) acks() Finding {
	f := Finding{Rule: "Acks"}
	for _, change := range b.Changes {
		if change.Fault != "" || change.Outcome == history.Refused || change.Whole == nil {
			continue
		}
		f.Checked++
		bound := b.bounds.Ack + time.Duration(len(change.Whole.Routes))*3*time.Millisecond
		end := change.Answered
		if change.Outcome == history.Unclear || end == 0 {
			end = b.Ended
		}
		if end.Since(change.Began) <= bound {
			continue
		}
		// It counts only where one stretch of that length was undisturbed.
		if b.calmStretch(change.Began, end, bound) {
			f.fault("version %d lacked an acknowledgement after %v", change.Generation, end.Since(change.Began).Round(time.Millisecond))
		}
	}
	return f
}

// calmStretch says whether a span holds a stretch of some length with nothing wrong.
func (b *bench) calmStretch(from, to clock.Mark, length time.Duration) bool {
	begin := from
	for _, trouble := range b.Troubles {
		if !trouble.Core && trouble.Kind != history.Link && trouble.Kind != history.Closing {
			continue
		}
		if trouble.Until != 0 && trouble.Until+clock.Mark(b.bounds.Contact) <= begin || trouble.From >= to {
			continue
		}
		if trouble.From.Since(begin) > length {
			return true
		}
		if trouble.Until == 0 {
			return false
		}
		begin = max(begin, trouble.Until+clock.Mark(b.bounds.Contact))
	}
	return to.Since(begin) > length
}

func (b *bench) leavingAcks() Finding {
	f := Finding{Rule: "Acks of leaving"}
	late := []string{}
	for _, life := range b.Lives {
		if life.DrainAsked == 0 || life.Crashed || !b.calm(life.DrainAsked, life.DrainAsked+clock.Mark(b.bounds.Ack)) {
			continue
		}
		f.Checked++
		if life.DrainAcked == 0 || life.DrainAcked.Since(life.DrainAsked) > b.bounds.Ack {
			late = append(late, life.Engine+" was not told in time that its leaving is known")
		}
	}
	if len(late)*5 > f.Checked {
		f.Violations = late
	}
	return f
}
