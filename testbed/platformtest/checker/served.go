package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// requestOutcome is the outcome of one request over all its attempts.
type requestOutcome struct {
	kind, session, model string
	tenant               string
	began, ended         clock.Mark
	served               bool
	size                 int
}

// answers lists the outcomes of all requests that count for service, in order.
func (b *index) answers() []requestOutcome {
	byRequest := map[string]*requestOutcome{}
	var order []string
	for _, attempt := range b.Attempts {
		if attempt.Probe || attempt.Absent || attempt.Early || attempt.ExceedsDeadline || !b.owed(attempt) {
			continue
		}
		one := byRequest[attempt.Request]
		if one == nil {
			one = &requestOutcome{kind: attempt.Kind, session: attempt.Session, model: attempt.Prompt.WriteModel(), tenant: attempt.Tenant, began: attempt.Began, size: attempt.Prompt.TokensIn + 10*attempt.Prompt.TokensOut}
			byRequest[attempt.Request] = one
			order = append(order, attempt.Request)
		}
		one.served = one.served || b.served(attempt)
		one.ended = max(one.ended, attempt.Ended)
	}
	out := make([]requestOutcome, 0, len(order))
	for _, id := range order {
		out = append(out, *byRequest[id])
	}
	return out
}

// owed says whether an attempt is owed an answer: its route and key are there, and its tenant asks under its limit.
func (b *index) owed(attempt *history.Attempt) bool {
	if attempt.Tenant == "" && attempt.Key == "" {
		return true
	}
	return b.alwaysAdmitted(attempt) && !b.beyondLimit(attempt)
}

// served says whether an attempt got a complete answer.
func (b *index) served(attempt *history.Attempt) bool { return attempt.Success() }

// servedShare is the fraction of requests that were served.
func servedShare(items []requestOutcome) float64 {
	if len(items) == 0 {
		return 0
	}
	served := 0
	for _, one := range items {
		if one.served {
			served++
		}
	}
	return float64(served) / float64(len(items))
}

// recovery checks that requests are served again after the closing fault.
func (b *index) recovery() Finding {
	f := Finding{Rule: "RECOVER"}
	closing := b.closingFault()
	if closing == nil || closing.Until == 0 {
		return f
	}
	back := closing.Until + clock.Mark(b.bounds.Recovery)
	var earlier, later []requestOutcome
	for _, one := range b.answers() {
		if one.ended < closing.From {
			earlier = append(earlier, one)
		} else if one.began > back {
			later = append(later, one)
		}
	}
	f.Checked = len(later)
	if servedShare(earlier) >= 0.25 && len(later) > 0 && servedShare(later) < 0.25 {
		f.violation("%.0f %% were served before the closing fault, and %.0f %% of what was sent more than %v after the machines were back", 100*servedShare(earlier), 100*servedShare(later), b.bounds.Recovery)
	}
	return f
}

// servedFloor checks that the least fraction of requests was served.
func (b *index) servedFloor() Finding {
	f := Finding{Rule: "Floor"}
	items := b.answers()
	f.Checked = len(items)
	if len(items) > 0 && servedShare(items) < b.bounds.Floor {
		f.violation("%.1f %% of %d requests were served, where %.0f %% are wanted", 100*servedShare(items), len(items), 100*b.bounds.Floor)
	}
	return f
}

// grouped groups outcomes by a key; an empty key is left out.
func grouped(items []requestOutcome, key func(requestOutcome) string) map[string][]requestOutcome {
	out := map[string][]requestOutcome{}
	for _, one := range items {
		if name := key(one); name != "" {
			out[name] = append(out[name], one)
		}
	}
	return out
}

// servedBySize checks that the largest model requests are served about as often as all.
func (b *index) servedBySize() Finding {
	f := Finding{Rule: "Sizes"}
	for kind, items := range grouped(b.answers(), func(a requestOutcome) string { return a.kind }) {
		if items[0].model == "" || len(items) < 50 {
			continue
		}
		slices.SortStableFunc(items, func(x, y requestOutcome) int { return cmp.Compare(y.size, x.size) })
		tenth, fifth := items[:len(items)/10], items[len(items)/10:len(items)*3/10]
		f.Checked += len(tenth) + len(fifth)
		for name, part := range map[string][]requestOutcome{"tenth": tenth, "fifth below it": fifth} {
			if servedShare(part) < servedShare(items)/2 {
				f.violation("%s: of the largest %s %.0f %% were served, and %.0f %% of all", kind, name, 100*servedShare(part), 100*servedShare(items))
			}
		}
	}
	slices.Sort(f.Violations)
	return f
}

// starved counts the groups that were requested throughout the run and never served, against chance.
func (b *index) starved(f *Finding, groups map[string][]requestOutcome, fixed, part float64) {
	overall := servedShare(b.answers())
	never, chance, asked := []string{}, 0.0, 0
	for name, items := range groups {
		if len(items) < 4 || items[len(items)-1].began.Since(items[0].began) < 8*time.Second {
			continue
		}
		asked++
		chance += math.Pow(1-overall, float64(len(items)))
		if servedShare(items) == 0 {
			never = append(never, name)
		}
	}
	f.Checked = asked
	slices.Sort(never)
	if float64(len(never)) > fixed+part*float64(asked)+3*chance {
		f.violation("%d of %d were never served: %s", len(never), asked, fmt.Sprint(never[:min(5, len(never))]))
	}
}

// starvedSessions checks that no more sessions starve than chance explains.
func (b *index) starvedSessions() Finding {
	f := Finding{Rule: "Starved sessions"}
	b.starved(&f, grouped(b.answers(), func(a requestOutcome) string {
		if a.session == "" {
			return ""
		}
		return a.kind + " " + a.session
	}), 2, 0.04)
	return f
}

// starvedModels checks that no more models starve than chance explains.
func (b *index) starvedModels() Finding {
	f := Finding{Rule: "Starved models"}
	b.starved(&f, grouped(b.answers(), func(a requestOutcome) string { return a.model }), 1, 0.10)
	return f
}

// starvedKinds checks that no kind of request is served far less than all.
func (b *index) starvedKinds() Finding {
	return b.starvedGroups("Starved kinds", func(a requestOutcome) string { return a.kind })
}

// starvedTenants checks that no tenant is served far less than all.
func (b *index) starvedTenants() Finding {
	return b.starvedGroups("Starved tenants", func(a requestOutcome) string { return a.tenant })
}

// starvedGroups checks that the requests of no group are served far less than all.
func (b *index) starvedGroups(rule string, key func(requestOutcome) string) Finding {
	f := Finding{Rule: rule}
	all := b.answers()
	for name, items := range grouped(all, key) {
		f.Checked++
		if len(items) >= 10 && servedShare(items) < servedShare(all)/4 {
			f.violation("%s: %.0f %% were served, and %.0f %% of all", name, 100*servedShare(items), 100*servedShare(all))
		}
	}
	slices.Sort(f.Violations)
	return f
}
