package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// linesOf prints a page of tenants and collapses the columns' blanks.
func linesOf(t *testing.T, page operatorapi.Tenants) []string {
	t.Helper()
	data, err := json.Marshal(page)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := writeTenants(&out, data); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	return lines
}

func expectLines(t *testing.T, got []string, wanted ...string) {
	t.Helper()
	all := strings.Join(got, "\n") + "\n"
	for _, want := range wanted {
		if !strings.Contains(all, want+"\n") {
			t.Errorf("%q is not in\n%s", want, all)
		}
	}
}

var acme = operatorapi.Tenant{Name: "acme", TenantLimit: operatorapi.TenantLimit{RatePerSecond: 50, Burst: 100}}

func used() operatorapi.Tenants {
	return operatorapi.Tenants{
		ConfigurationVersion: 7,
		Tenants:              []operatorapi.Tenant{acme, {Name: "free", Rank: new(int)}},
		Daemons: []operatorapi.TenantDaemon{{Daemon: "edge-1#a", Routes: true, Tenants: []operatorapi.TenantUse{{
			Tenant: "acme", Granted: 9, OnCredit: 2, Denied: 3, Lapsed: 4, Waiting: 1, Tokens: 5, SentPerSecond: 12.25, StandingRate: 15.5, Deficit: 2,
		}}}},
		Leader: &operatorapi.TenantLeader{Daemon: "core-1#b", Term: 3, Buckets: []operatorapi.TenantBucket{{
			Tenant: "acme", Level: -1.5, Capacity: 105, Granted: 40, Denied: 6, Daemons: []operatorapi.TenantAllowance{
				{Daemon: "edge-1#a", StandingRate: 15.5}, {Daemon: "edge-2#c", StandingRate: 2, Reserved: 7.5, Overdue: true},
			},
		}}},
	}
}

func TestTenantsArePrintedWithUseAndBucket(t *testing.T) {
	expectLines(t, linesOf(t, used()),
		"2 tenants of spec epoch 7",
		"acme - 50/s + 100 edge-1#a 9 2 3 4 1 5 12.2 15.5 2",
		"free 0 none - - - - - - - - - -",
		"at the leader core-1#b, in term 3",
		"acme -1.5 105.0 40 6 2 7.5 edge-2#c",
	)
}

func TestTenantsWithoutLeaderAreMarkedOnCredit(t *testing.T) {
	page := used()
	page.Leader, page.Daemons[0].OnCredit = nil, true
	page.Unanswered = append(page.Unanswered, "edge-2#c")
	expectLines(t, linesOf(t, page),
		"edge-1#a gets no answer from the leader and decides on credit",
		"edge-2#c did not answer",
		"no leader of the control group answered: limited requests are decided on credit",
	)
}

func TestTenantsOfControlDaemonPointToRoutingOnes(t *testing.T) {
	page := operatorapi.Tenants{Tenants: []operatorapi.Tenant{acme}, Daemons: []operatorapi.TenantDaemon{{Daemon: "core-1#b"}}}
	expectLines(t, linesOf(t, page), "core-1#b sends no requests; --at names a daemon that does, or all")
}

func TestTenantsCommandNamesTenantAndDaemon(t *testing.T) {
	for want, arguments := range map[string][2]string{
		"/v1/tenants":                    {"", ""},
		"/v1/tenants?tenant=a+b":         {"a b", ""},
		"/v1/tenants?at=all":             {"", "all"},
		"/v1/tenants?at=e-1%23&tenant=a": {"a", "e-1#"},
	} {
		if got := tenantsPath(arguments[0], arguments[1]); got != want {
			t.Errorf("%v: %s", arguments, got)
		}
	}
	commands := newCommandLine()
	if chosen, err := commands.app.Parse([]string{"tenants", "acme", "--at", "all"}); err != nil || commands.run[chosen] == nil {
		t.Errorf("%q, %v", chosen, err)
	}
}
