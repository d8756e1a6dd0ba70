package linearizability

import (
	"testing"
	"time"
)

func newWrite(digest string, base, revision uint64) *Write {
	return &Write{Digest: digest, Base: base, Revision: revision, Content: digest, Validity: Valid}
}

func write(start, end int64, sent *Write, outcome Outcome) Call {
	return Call{Start: start, End: end, Write: sent, Outcome: outcome}
}

func read(start, end int64, revision uint64, content string) Call {
	return Call{Start: start, End: end, Read: &Read{revision, content}, Outcome: Acknowledged}
}

// Small histories that are linearizable, and others that differ from them in one outcome.
func TestCheckHistories(t *testing.T) {
	a, b, c, ahead := newWrite("a", 0, 5), newWrite("b", 0, 5), newWrite("c", 5, 7), newWrite("ahead", 5, 9)
	invalid := &Write{Digest: "bad", Base: 5, Revision: 8, Validity: Invalid}
	uncertain := &Write{Digest: "unsure", Base: 5, Revision: 8, Validity: Uncertain}
	for name, test := range map[string]struct {
		calls []Call
		want  Status
	}{
		"nothing":                                       {nil, Linearizable},
		"a chain that is read":                          {[]Call{write(0, 1, a, Acknowledged), read(2, 3, 5, "a"), write(4, 5, c, Acknowledged), read(6, 7, 7, "c")}, Linearizable},
		"one of two takes effect":                       {[]Call{write(0, 9, a, Acknowledged), write(0, 9, b, Rejected)}, Linearizable},
		"two take effect as one revision":               {[]Call{write(0, 9, a, Acknowledged), write(0, 9, b, Acknowledged)}, Violated},
		"both are rejected":                             {[]Call{write(0, 9, a, Rejected), write(0, 9, b, Rejected)}, Violated},
		"both are rejected, an unknown one took effect": {[]Call{write(0, 0, newWrite("x", 0, 3), Unknown), write(1, 9, a, Rejected), write(1, 9, b, Rejected)}, Linearizable},
		"sent again after its success":                  {[]Call{write(0, 1, a, Acknowledged), write(2, 3, c, Acknowledged), write(4, 5, a, Acknowledged), read(6, 7, 7, "c")}, Linearizable},
		"acknowledged, then rejected":                   {[]Call{write(0, 1, a, Acknowledged), write(2, 3, a, Rejected)}, Violated},
		"rejected, then acknowledged":                   {[]Call{write(0, 1, ahead, Rejected), write(2, 3, a, Acknowledged), write(4, 5, ahead, Acknowledged)}, Violated},
		"ahead of the base, and always rejected":        {[]Call{write(0, 1, ahead, Rejected), write(2, 3, a, Acknowledged), write(4, 5, ahead, Rejected)}, Linearizable},
		"rejected by an unanswered call":                {[]Call{write(0, 0, ahead, Unknown), write(2, 3, a, Acknowledged), write(4, 5, ahead, Rejected)}, Linearizable},
		"a valid one rejected on the newest base":       {[]Call{write(2, 3, a, Acknowledged), write(4, 5, ahead, Rejected)}, Violated},
		"an unanswered call takes effect late":          {[]Call{write(0, 0, a, Unknown), read(1, 2, 0, ""), read(3, 4, 5, "a")}, Linearizable},
		"an unanswered call takes effect too soon":      {[]Call{read(1, 2, 5, "a"), write(3, 3, a, Unknown)}, Violated},
		"a stale read":                                  {[]Call{write(0, 1, a, Acknowledged), read(2, 3, 0, "")}, Violated},
		"a read concurrent with the change":             {[]Call{write(0, 5, a, Acknowledged), read(2, 3, 0, "")}, Linearizable},
		"another content of the revision":               {[]Call{write(0, 1, a, Acknowledged), write(0, 9, b, Unknown), read(2, 3, 5, "b")}, Violated},
		"reads go back":                                 {[]Call{write(0, 9, a, Acknowledged), read(1, 2, 5, "a"), read(3, 4, 0, "")}, Violated},
		"an invalid one rejected":                       {[]Call{write(0, 1, a, Acknowledged), write(2, 3, invalid, Rejected)}, Linearizable},
		"an invalid one acknowledged":                   {[]Call{write(0, 1, a, Acknowledged), write(2, 3, invalid, Acknowledged)}, Violated},
		"an uncertain one rejected":                     {[]Call{write(0, 1, a, Acknowledged), write(2, 3, uncertain, Rejected)}, Linearizable},
		"an uncertain one acknowledged":                 {[]Call{write(0, 1, a, Acknowledged), write(2, 3, uncertain, Acknowledged), read(4, 5, 8, "anything")}, Linearizable},
		"the same bytes from two operators":             {[]Call{write(0, 9, a, Acknowledged), write(1, 8, newWrite("a", 0, 5), Acknowledged), read(10, 11, 5, "a")}, Linearizable},
		"an unanswered read":                            {[]Call{{Start: 0, Read: &Read{Revision: 99}, Outcome: Unknown}}, Linearizable},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Check(test.calls, time.Minute); got.Status != test.want || (got.Status == Linearizable) != (got.Reason == "") {
				t.Errorf("%+v, want %s", got, test.want)
			}
		})
	}
}

func TestIndexSet(t *testing.T) {
	var set indexSet
	for _, index := range []int{0, 7, 8, 100} {
		set = set.with(index)
	}
	for index := range 130 {
		if want := index == 0 || index == 7 || index == 8 || index == 100; set.contains(index) != want {
			t.Errorf("%d: %t", index, set.contains(index))
		}
	}
}
