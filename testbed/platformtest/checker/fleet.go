package checker

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func (b *index) one() Finding {
	f := Finding{Rule: "ONE"}
	byEngine := map[string][]*history.Order{}
	for _, order := range b.Orders {
		if order.Order.Fence == nil || order.Order.Owner == "" {
			continue
		}
		// What was held up by a freeze or a cut does not count.
		if b.disrupted(before(order.At, b.bounds.Unfreeze), order.At, func(t *history.Disruption) bool {
			return t.Until != 0 && t.Until <= order.At && (t.Kind == history.Frozen || t.Kind == history.Link)
		}) {
			continue
		}
		byEngine[order.Engine] = append(byEngine[order.Engine], order)
	}
	for _, engine := range slices.Sorted(maps.Keys(byEngine)) {
		holders, highest := map[uint64]string{}, uint64(0)
		var last *history.Order
		for _, order := range byEngine[engine] {
			f.Checked++
			fence, owner := *order.Order.Fence, order.Order.Owner
			if holder, known := holders[fence]; known && holder != owner {
				f.violation("%s: %s and %s share the fence %d", engine, holder, owner, fence)
			}
			holders[fence] = owner
			if fence < highest && !b.bounds.FenceChecked {
				f.violation("%s: fence %d after %d", engine, fence, highest)
			}
			highest = max(highest, fence)
			if last != nil && last.Order.Owner != owner && order.At.Since(last.At) < b.bounds.Lease {
				f.violation("%s: %s ordered %v after %s", engine, owner, order.At.Since(last.At).Round(time.Millisecond), last.Order.Owner)
			}
			last = order
		}
	}
	return f
}

func (b *index) limit() Finding {
	f := Finding{Rule: "LIMIT"}
	for _, order := range b.Orders {
		if order.Order.Operation != protocol.Load {
			continue
		}
		f.Checked++
		if order.OverCapacity {
			f.violation("%s was ordered to load %s %s over its room", order.Engine, order.Order.Model, order.Order.Adapter)
		}
	}
	return f
}

func (b *index) loadRate() Finding {
	f := Finding{Rule: "CEILING"}
	pace := map[string]float64{}
	for _, version := range b.versions {
		for _, backend := range version.Config.Backends {
			if backend.Engine != nil {
				pace[backend.Label] = max(pace[backend.Label], backend.Engine.LoadsPerS)
			}
		}
	}
	begun := map[string][]clock.Mark{}
	for _, order := range b.Orders {
		if !order.FromStore || order.Status != 202 {
			continue
		}
		if !b.coreSettled(order.At) || b.disrupted(order.At, order.At, func(t *history.Disruption) bool { return t.Kind == history.Link }) {
			continue
		}
		f.Checked++
		begun[order.Service] = append(begun[order.Service], order.At)
	}
	for _, service := range slices.Sorted(maps.Keys(begun)) {
		most := pace[service]*b.bounds.OriginWindow.Seconds()*b.bounds.OriginExcess + 3
		first := 0
		for last, at := range begun[service] {
			for at.Since(begun[service][first]) >= b.bounds.OriginWindow {
				first++
			}
			if count := last - first + 1; float64(count) > most {
				f.violation("%s: %d loads from the store within %v, where %.1f are allowed", service, count, b.bounds.OriginWindow, most)
				break
			}
		}
	}
	return f
}

// answer is one wish of a client over all its tries.
type answer struct {
	kind, session, model string
	began, ended         clock.Mark
	served               bool
	size                 int
}

func (b *index) answers() []answer {
	byRequest := map[string]*answer{}
	var order []string
	for _, attempt := range b.Attempts {
		if attempt.Probe || attempt.Absent || attempt.Early || attempt.ExceedsDeadline {
			continue
		}
		one := byRequest[attempt.Request]
		if one == nil {
			one = &answer{kind: attempt.Kind, session: attempt.Session, model: attempt.Prompt.WriteModel(), began: attempt.Began, size: attempt.Prompt.TokensIn + 10*attempt.Prompt.TokensOut}
			byRequest[attempt.Request] = one
			order = append(order, attempt.Request)
		}
		one.served = one.served || b.served(attempt)
		one.ended = max(one.ended, attempt.Ended)
	}
	out := make([]answer, 0, len(order))
	for _, id := range order {
		out = append(out, *byRequest[id])
	}
	return out
}

// served says whether a try has all that was left to get.
func (b *index) served(attempt *history.Attempt) bool { return attempt.Success() }

func share(list []answer) float64 {
	if len(list) == 0 {
		return 0
	}
	served := 0
	for _, one := range list {
		if one.served {
			served++
		}
	}
	return float64(served) / float64(len(list))
}

func (b *index) recover() Finding {
	f := Finding{Rule: "RECOVER"}
	closing := b.closing()
	if closing == nil || closing.Until == 0 {
		return f
	}
	back := closing.Until + clock.Mark(b.bounds.Recovery)
	var earlier, later []answer
	for _, one := range b.answers() {
		if one.ended < closing.From {
			earlier = append(earlier, one)
		} else if one.began > back {
			later = append(later, one)
		}
	}
	f.Checked = len(later)
	if share(earlier) >= 0.25 && len(later) > 0 && share(later) < 0.25 {
		f.violation("%.0f %% were served before the closing fault, and %.0f %% of what was sent more than %v after the machines were back", 100*share(earlier), 100*share(later), b.bounds.Recovery)
	}
	return f
}

func (b *index) floor() Finding {
	f := Finding{Rule: "Floor"}
	list := b.answers()
	f.Checked = len(list)
	if len(list) > 0 && share(list) < b.bounds.Floor {
		f.violation("%.1f %% of %d requests were served, where %.0f %% are wanted", 100*share(list), len(list), 100*b.bounds.Floor)
	}
	return f
}

func grouped(list []answer, key func(answer) string) map[string][]answer {
	out := map[string][]answer{}
	for _, one := range list {
		if name := key(one); name != "" {
			out[name] = append(out[name], one)
		}
	}
	return out
}

func (b *index) sizes() Finding {
	f := Finding{Rule: "Sizes"}
	for kind, list := range grouped(b.answers(), func(a answer) string { return a.kind }) {
		if list[0].model == "" || len(list) < 50 {
			continue
		}
		slices.SortStableFunc(list, func(x, y answer) int { return cmp.Compare(y.size, x.size) })
		tenth, fifth := list[:len(list)/10], list[len(list)/10:len(list)*3/10]
		f.Checked += len(tenth) + len(fifth)
		for name, part := range map[string][]answer{"tenth": tenth, "fifth below it": fifth} {
			if share(part) < share(list)/2 {
				f.violation("%s: of the largest %s %.0f %% were served, and %.0f %% of all", kind, name, 100*share(part), 100*share(list))
			}
		}
	}
	slices.Sort(f.Violations)
	return f
}

// starved counts the groups asked for through the day that were never served, against chance.
func (b *index) starved(f *Finding, groups map[string][]answer, fixed, part float64) {
	overall := share(b.answers())
	never, chance, asked := []string{}, 0.0, 0
	for name, list := range groups {
		if len(list) < 4 || list[len(list)-1].began.Since(list[0].began) < 8*time.Second {
			continue
		}
		asked++
		chance += math.Pow(1-overall, float64(len(list)))
		if share(list) == 0 {
			never = append(never, name)
		}
	}
	f.Checked = asked
	slices.Sort(never)
	if float64(len(never)) > fixed+part*float64(asked)+3*chance {
		f.violation("%d of %d were never served: %s", len(never), asked, fmt.Sprint(never[:min(5, len(never))]))
	}
}

func (b *index) starvedSessions() Finding {
	f := Finding{Rule: "Starved sessions"}
	b.starved(&f, grouped(b.answers(), func(a answer) string {
		if a.session == "" {
			return ""
		}
		return a.kind + " " + a.session
	}), 2, 0.04)
	return f
}

func (b *index) starvedModels() Finding {
	f := Finding{Rule: "Starved models"}
	b.starved(&f, grouped(b.answers(), func(a answer) string { return a.model }), 1, 0.10)
	return f
}

func (b *index) starvedKinds() Finding {
	f := Finding{Rule: "Starved kinds"}
	all := b.answers()
	for kind, list := range grouped(all, func(a answer) string { return a.kind }) {
		f.Checked++
		if len(list) >= 10 && share(list) < share(all)/4 {
			f.violation("%s: %.0f %% were served, and %.0f %% of all", kind, 100*share(list), 100*share(all))
		}
	}
	slices.Sort(f.Violations)
	return f
}

func (b *index) unexpectedExits() Finding {
	f := Finding{Rule: "Own ends", Checked: len(b.Cores) + len(b.Edges)}
	for _, disruption := range b.Disruptions {
		if disruption.Kind == history.UnexpectedExit {
			f.violation("%s ended by itself", disruption.Machine)
		}
	}
	return f
}

func (b *index) ready() Finding {
	f := Finding{Rule: "Duty"}
	unready, looks := map[string]int{}, map[string]int{}
	for _, look := range b.ReadinessChecks {
		if !b.inTouch(look.Machine, look.At) {
			continue
		}
		f.Checked++
		looks[look.Machine]++
		if !look.Ready {
			unready[look.Machine]++
		}
	}
	for _, machine := range slices.Sorted(maps.Keys(unready)) {
		if looks[machine] >= 8 && unready[machine]*8 > looks[machine] {
			f.violation("%s was not ready in %d of %d calm looks", machine, unready[machine], looks[machine])
		}
	}
	return f
}
