package checker

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// configLaterRoutes checks that routes added later are served as well as the first ones.
func (b *index) configLaterRoutes() Finding {
	f := Finding{Rule: "CONFIG later routes served"}
	if len(b.versions) == 0 {
		return f
	}
	first := b.versions[0].Config
	type tally struct{ served, all int }
	var early, late tally
	for _, attempt := range b.Attempts {
		if attempt.Absent || attempt.Ended == 0 || !b.owed(attempt) || !b.undisturbed(attempt.Began, attempt.Ended) {
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

// Same says whether two configurations are equivalent: the order of their routes, services and tenants does not matter.
func Same(x, y *protocol.Config) bool {
	return reflect.DeepEqual(canonical(x), canonical(y))
}

// canonical decodes a configuration into a form that is equal for equivalent ones.
func canonical(config *protocol.Config) any {
	var out map[string]any
	if err := json.Unmarshal(config.Encode(), &out); err != nil {
		panic("broken invariant: a configuration cannot be read: " + err.Error())
	}
	for _, name := range []string{"route-table", "backends", "clients"} {
		byLabel := map[string]any{}
		items, _ := out[name].([]any)
		for _, item := range items {
			if fields, ok := item.(map[string]any); ok {
				byLabel[fmt.Sprint(fields["label"])] = fields
			}
		}
		out[name] = byLabel
	}
	return out
}

// newestAcked is the newest version that was acknowledged; nil if there is none.
func (b *index) newestAcked() *history.Change {
	var newest *history.Change
	for _, version := range b.versions {
		if version.Outcome == history.Acknowledged {
			newest = version
		}
	}
	return newest
}

// readFault says what is wrong with the configuration as read at the end; empty is nothing.
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

// configReadBack checks the configuration that is read at the end.
func (b *index) configReadBack() Finding {
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

// closingFault is the closing fault of the run; nil if there was none.
func (b *index) closingFault() *history.Disruption {
	for _, disruption := range b.Disruptions {
		if disruption.Kind == history.Closing {
			return disruption
		}
	}
	return nil
}

// lostClosing checks that the closing fault lost no acknowledged configuration.
func (b *index) lostClosing() Finding {
	f := Finding{Rule: "LOST after the closing fault"}
	if b.closingFault() == nil || len(b.ReadBacks) == 0 {
		return f
	}
	f.Checked = 1
	if fault := b.readFault(b.ReadBacks[len(b.ReadBacks)-1]); fault != "" {
		f.violation("%s", fault)
	}
	return f
}
