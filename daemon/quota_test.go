package daemon

import (
	"reflect"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/quota"
)

// Guards against a field that is lost between daemons: a leader that did not know what was spent on credit would grant it
// again.
func TestQuotaMessagesKeepAllFieldsOnTheWire(t *testing.T) {
	request := quota.Request{Daemon: "edge#1", Sequence: 7, Term: 3, Claims: []quota.Claim{{
		Tenant: "acme", Waiting: 2, Prefetch: 5, RatePerSecond: 12.25, StandingRate: 0.1 + 0.2,
		StandingAge: 1500 * time.Microsecond, CreditFrom: 8, CreditTo: 11,
	}}}
	if got := decodeQuotaRequest(encodeQuotaRequest(request)); !reflect.DeepEqual(got, request) {
		t.Errorf("%+v", got)
	}
	reply := quota.Reply{Sequence: 7, Term: 3, LeaderFor: 90 * time.Millisecond, Allotments: []quota.Allotment{{
		Tenant: "acme", Count: 4, RetryAfter: 100 * time.Millisecond, StandingRate: 0.1 + 0.2,
	}}}
	if got := decodeQuotaReply(encodeQuotaReply(reply)); !reflect.DeepEqual(got, reply) {
		t.Errorf("%+v", got)
	}
}
