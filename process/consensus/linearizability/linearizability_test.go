package linearizability

import (
	"testing"
	"time"
)

func order(digest string, base, revision uint64) *Order {
	return &Order{Digest: digest, Base: base, Revision: revision, Content: digest, Validity: Sound}
}

func ordered(start, end int64, o *Order, outcome Outcome) Call {
	return Call{Start: start, End: end, Order: o, Outcome: outcome}
}

func read(start, end int64, revision uint64, content string) Call {
	return Call{Start: start, End: end, Read: &Read{revision, content}, Outcome: Acknowledged}
}

// TestHistories holds small histories that are right, and others that differ from them in one answer.
func TestHistories(t *testing.T) {
	a, b, c, ahead := order("a", 0, 5), order("b", 0, 5), order("c", 5, 7), order("ahead", 5, 9)
	bad := &Order{Digest: "bad", Base: 5, Revision: 8, Validity: Invalid}
	unsure := &Order{Digest: "unsure", Base: 5, Revision: 8, Validity: Uncertain}
	for name, test := range map[string]struct {
		calls []Call
		want  Verdict
	}{
		"nothing":                                  {nil, Linearizable},
		"a chain that is read":                     {[]Call{ordered(0, 1, a, Acknowledged), read(2, 3, 5, "a"), ordered(4, 5, c, Acknowledged), read(6, 7, 7, "c")}, Linearizable},
		"one of two wins":                          {[]Call{ordered(0, 9, a, Acknowledged), ordered(0, 9, b, Refused)}, Linearizable},
		"two win one number":                       {[]Call{ordered(0, 9, a, Acknowledged), ordered(0, 9, b, Acknowledged)}, Broken},
		"both lose":                                {[]Call{ordered(0, 9, a, Refused), ordered(0, 9, b, Refused)}, Broken},
		"both lose to a lost answer":               {[]Call{ordered(0, 0, order("x", 0, 3), Unanswered), ordered(1, 9, a, Refused), ordered(1, 9, b, Refused)}, Linearizable},
		"sent again after its success":             {[]Call{ordered(0, 1, a, Acknowledged), ordered(2, 3, c, Acknowledged), ordered(4, 5, a, Acknowledged), read(6, 7, 7, "c")}, Linearizable},
		"acknowledged, then refused":               {[]Call{ordered(0, 1, a, Acknowledged), ordered(2, 3, a, Refused)}, Broken},
		"refused, then acknowledged":               {[]Call{ordered(0, 1, ahead, Refused), ordered(2, 3, a, Acknowledged), ordered(4, 5, ahead, Acknowledged)}, Broken},
		"refused ahead for ever":                   {[]Call{ordered(0, 1, ahead, Refused), ordered(2, 3, a, Acknowledged), ordered(4, 5, ahead, Refused)}, Linearizable},
		"refused by a call that was not answered":  {[]Call{ordered(0, 0, ahead, Unanswered), ordered(2, 3, a, Acknowledged), ordered(4, 5, ahead, Refused)}, Linearizable},
		"a sound one refused on the newest":        {[]Call{ordered(2, 3, a, Acknowledged), ordered(4, 5, ahead, Refused)}, Broken},
		"an unanswered call takes effect late":     {[]Call{ordered(0, 0, a, Unanswered), read(1, 2, 0, ""), read(3, 4, 5, "a")}, Linearizable},
		"an unanswered call takes effect too soon": {[]Call{read(1, 2, 5, "a"), ordered(3, 3, a, Unanswered)}, Broken},
		"a stale read":                             {[]Call{ordered(0, 1, a, Acknowledged), read(2, 3, 0, "")}, Broken},
		"a read beside the change":                 {[]Call{ordered(0, 5, a, Acknowledged), read(2, 3, 0, "")}, Linearizable},
		"another content under the number":         {[]Call{ordered(0, 1, a, Acknowledged), ordered(0, 9, b, Unanswered), read(2, 3, 5, "b")}, Broken},
		"reads go back":                            {[]Call{ordered(0, 9, a, Acknowledged), read(1, 2, 5, "a"), read(3, 4, 0, "")}, Broken},
		"an invalid one refused":                   {[]Call{ordered(0, 1, a, Acknowledged), ordered(2, 3, bad, Refused)}, Linearizable},
		"an invalid one acknowledged":              {[]Call{ordered(0, 1, a, Acknowledged), ordered(2, 3, bad, Acknowledged)}, Broken},
		"an uncertain one refused":                 {[]Call{ordered(0, 1, a, Acknowledged), ordered(2, 3, unsure, Refused)}, Linearizable},
		"an uncertain one acknowledged":            {[]Call{ordered(0, 1, a, Acknowledged), ordered(2, 3, unsure, Acknowledged), read(4, 5, 8, "anything")}, Linearizable},
		"the same bytes from two operators":        {[]Call{ordered(0, 9, a, Acknowledged), ordered(1, 8, order("a", 0, 5), Acknowledged), read(10, 11, 5, "a")}, Linearizable},
		"an unanswered read":                       {[]Call{{Start: 0, Read: &Read{Revision: 99}, Outcome: Unanswered}}, Linearizable},
	} {
		if got := Check(test.calls, time.Minute); got.Verdict != test.want || (got.Verdict == Linearizable) != (got.Reason == "") {
			t.Errorf("%s: %+v, want %s", name, got, test.want)
		}
	}
}

func TestPlaceSets(t *testing.T) {
	var set placeSet
	for _, place := range []int{0, 7, 8, 100} {
		set = set.with(place)
	}
	for place := range 130 {
		if want := place == 0 || place == 7 || place == 8 || place == 100; set.has(place) != want {
			t.Errorf("%d: %t", place, set.has(place))
		}
	}
}
