package tenantquota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/quota"
)

const (
	beginsCredit      = "quota: the leader does not answer; limited requests are decided on credit"
	endsCredit        = "quota: credit is settled; the leader decides again"
	beginsAllotting   = "quota: the leader begins to allot tokens"
	chargesCredit     = "quota: requests sent on credit were reported and are charged"
	beginsReservation = "quota: tokens are reserved for daemons out of contact"
	endsReservation   = "quota: no more tokens are reserved for daemons that were out of contact"
)

func recording() (*memory.Handler, log.Interface) {
	handler := memory.New()
	return handler, &log.Logger{Handler: handler, Level: log.InfoLevel}
}

func messages(handler *memory.Handler) []string {
	var out []string
	for _, entry := range handler.Entries {
		out = append(out, entry.Message)
	}
	return out
}

func at(elapsed time.Duration) clock.Mark { return clock.Mark(time.Hour + elapsed) }

// Guards against a change that nobody is told, and against a line for each call that fails.
func TestGoingOnCreditAndSettlingAreLoggedOnce(t *testing.T) {
	handler, logger := recording()
	credit := creditLog{log: logger}
	credit.end(0, at(0))
	for failed := range 5 {
		credit.begin(errors.New("no leader"), 10, at(time.Duration(failed)*100*time.Millisecond))
	}
	credit.end(17, at(3*time.Second))
	credit.end(17, at(4*time.Second))
	if got := messages(handler); !slices.Equal(got, []string{beginsCredit, endsCredit}) {
		t.Fatalf("%q", got)
	}
	settled := handler.Entries[1].Fields
	if settled.Get("onCredit") != uint64(7) || settled.Get("lastedMs") != int64(3000) {
		t.Errorf("%v", settled)
	}
}

// Guards against a log that a connection which comes and goes fills.
func TestChangesThatRepeatAreLoggedSeldom(t *testing.T) {
	handler, logger := recording()
	credit := creditLog{log: logger}
	for number := range 200 {
		now := at(time.Duration(number) * 100 * time.Millisecond)
		credit.begin(errors.New("no leader"), 0, now)
		credit.end(0, now)
	}
	if got := messages(handler); !slices.Equal(got, []string{beginsCredit, endsCredit, beginsCredit, endsCredit}) {
		t.Fatalf("%q", got)
	}
	if dropped := handler.Entries[2].Fields.Get("notLogged"); dropped != uint64(99) {
		t.Errorf("%v were not logged", dropped)
	}
}

// leading is an allotter that leads, and a daemon that calls it.
type leading struct {
	t        *testing.T
	allotter *Allotter
	handler  *memory.Handler
	term     uint64
	sequence uint64
}

func newLeading(t *testing.T) *leading {
	handler, logger := recording()
	return &leading{t: t, allotter: NewAllotter(settings, logger), handler: handler, term: 1}
}

func (l *leading) call(daemon ident.NodeID, elapsed time.Duration, claims ...quota.Claim) {
	l.t.Helper()
	l.sequence++
	request := quota.Request{Daemon: daemon, Sequence: l.sequence, Term: l.term, Claims: claims}
	limitOf := func(string) (quota.Limit, bool) { return limit, true }
	leadership := Leadership{Term: l.term, First: l.term == 1}
	if _, err := l.allotter.Allot(leadership, request, limitOf, at(elapsed)); err != nil {
		l.t.Fatal(err)
	}
}

// Guards against a leader that allots unseen.
func TestLeaderLogsFirstCallOfEachTerm(t *testing.T) {
	l := newLeading(t)
	for _, term := range []uint64{1, 1, 2, 2} {
		l.term = term
		l.call("edge#1", 0, quota.Claim{Tenant: "acme", Waiting: 1})
	}
	if got := messages(l.handler); !slices.Equal(got, []string{beginsAllotting, beginsAllotting}) {
		t.Errorf("%q", got)
	}
	if counts := l.allotter.Counts(); counts.Calls != 4 {
		t.Errorf("%+v", counts)
	}
}

// Guards against credit that is charged unseen, and against a line for each report.
func TestCreditThatIsReportedIsLoggedTogether(t *testing.T) {
	l := newLeading(t)
	spent := uint64(0)
	for number := range 100 {
		l.call("edge#1", time.Duration(number)*200*time.Millisecond, quota.Claim{Tenant: "acme", CreditFrom: spent, CreditTo: spent + 2})
		spent += 2
	}
	if got := messages(l.handler); !slices.Equal(got, []string{beginsAllotting, chargesCredit, chargesCredit}) {
		t.Fatalf("%q", got)
	}
	if requests := l.handler.Entries[2].Fields.Get("requests"); requests != uint64(100) {
		t.Errorf("%v requests", requests)
	}
	if counts := l.allotter.Counts(); counts.CreditReported != spent {
		t.Errorf("%+v", counts)
	}
}

// Guards against a limit that is used up by a reservation nobody is told of.
func TestReservationForDaemonOutOfContactIsLoggedAtBeginAndEnd(t *testing.T) {
	l := newLeading(t)
	serving := quota.Claim{Tenant: "acme", Waiting: 1, RatePerSecond: 10}
	l.call("lost#1", 0, serving)
	for number := range 40 {
		l.call("edge#1", time.Duration(number)*250*time.Millisecond, serving)
	}
	l.call("lost#1", 10*time.Second, serving)
	l.call("edge#1", 10*time.Second+300*time.Millisecond, serving)
	if got := messages(l.handler); !slices.Equal(got, []string{beginsAllotting, beginsReservation, endsReservation}) {
		t.Fatalf("%q", got)
	}
	for _, entry := range l.handler.Entries[1:3] {
		if named := fmt.Sprint(entry.Fields.Get("daemons")); named != "[lost#1]" || entry.Fields.Get("count") != 1 {
			t.Errorf("%v", entry.Fields)
		}
	}
}

// reservedDaemons are the daemons out of contact for which the core reserves tokens.
func (l *leading) reservedDaemons(elapsed time.Duration) map[ident.NodeID]bool {
	reserved := map[ident.NodeID]bool{}
	for _, bucket := range l.allotter.Status(at(elapsed)) {
		for _, allowance := range bucket.Daemons {
			if allowance.Overdue && allowance.StandingRate > 0 {
				reserved[allowance.Daemon] = true
			}
		}
	}
	return reserved
}

// Guards against lines that say another thing than the core does: for daemons that are lost, replaced or back.
func TestReservationsInLogAreThoseOfTheCore(t *testing.T) {
	l := newLeading(t)
	serving := quota.Claim{Tenant: "acme", Waiting: 1, RatePerSecond: 5}
	for _, daemon := range []ident.NodeID{"lost#1", "replaced#1", "back#1"} {
		l.call(daemon, 0, serving)
	}
	seen := map[int]int{}
	for second := range 20 {
		elapsed := time.Duration(second) * time.Second
		switch second {
		case 4:
			l.call("replaced#2", elapsed-time.Millisecond, serving)
		case 7:
			l.call("back#1", elapsed-time.Millisecond, serving)
		}
		l.call("edge#1", elapsed, serving)
		core := l.reservedDaemons(elapsed)
		if !maps.Equal(core, l.allotter.changes.reserved) {
			t.Errorf("after %d s the core reserves for %v, the log says %v", second, core, l.allotter.changes.reserved)
		}
		seen[len(core)]++
	}
	if seen[0] == 0 || seen[3] == 0 {
		t.Errorf("the sequence shows too little: %v", seen)
	}
}

// Guards against a line that names a whole fleet.
func TestLogLineNamesFewDaemonsAndCountsAll(t *testing.T) {
	l := newLeading(t)
	serving := quota.Claim{Tenant: "acme", Waiting: 1, RatePerSecond: 0.5}
	for number := range 30 {
		l.call(ident.NodeID(fmt.Sprintf("lost-%d#1", number)), 0, serving)
	}
	l.call("edge#1", 2*time.Second, serving)
	last := l.handler.Entries[len(l.handler.Entries)-1]
	named, _ := last.Fields.Get("daemons").([]ident.NodeID)
	if last.Message != beginsReservation || len(named) != maxNamedDaemons || last.Fields.Get("count") != 30 {
		t.Errorf("%s %v", last.Message, last.Fields)
	}
}
