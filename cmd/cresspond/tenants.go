package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cresspond/cresspond/wire/operatorapi"
)

// addTenantCommands adds the command that shows the tenants' limits and what was sent under them.
func (c *commandLine) addTenantCommands() {
	tenants := c.app.Command("tenants", "Show the limits of tenants and what was sent under them; never a key.")
	name := tenants.Arg("tenant", "Only this one.").String()
	at := tenants.Flag("at", "The daemon whose requests are shown, by name, or all for each that routes; without it the one that is asked.").String()
	c.on(tenants, func(t *tool) error { return t.page(tenantsPath(*name, *at), showTenants) })
}

func tenantsPath(tenant, at string) string {
	query := url.Values{}
	if tenant != "" {
		query.Set(operatorapi.TenantsParameter, tenant)
	}
	if at != "" {
		query.Set(operatorapi.TenantsAtParameter, at)
	}
	if len(query) == 0 {
		return operatorapi.PathTenants
	}
	return operatorapi.PathTenants + "?" + query.Encode()
}

func showTenants(data []byte) error { return writeTenants(os.Stdout, data) }

func writeTenants(out io.Writer, data []byte) error {
	var page operatorapi.Tenants
	if err := json.Unmarshal(data, &page); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d tenants of spec epoch %d\n", len(page.Tenants), page.ConfigurationVersion)
	if err := writeTenantDaemons(out, page); err != nil {
		return err
	}
	for _, daemon := range page.Unanswered {
		fmt.Fprintf(out, "%s did not answer\n", daemon)
	}
	if page.Leader == nil {
		fmt.Fprintln(out, "\nno leader of the control group answered: limited requests are decided on credit")
		return nil
	}
	return writeTenantBuckets(out, page)
}

// writeTenantDaemons prints a line for each tenant: of the daemon that was asked for, or of each where there are several.
func writeTenantDaemons(out io.Writer, page operatorapi.Tenants) error {
	for _, daemon := range page.Daemons {
		switch {
		case !daemon.Routes:
			fmt.Fprintf(out, "%s sends no requests; --at names a daemon that does, or all\n", daemon.Daemon)
		case daemon.OnCredit:
			fmt.Fprintf(out, "%s gets no answer from the leader and decides on credit\n", daemon.Daemon)
		}
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "\ntenant\trank\tlimit\tdaemon\tgranted\ton credit\tdenied\tlapsed\twaiting\ttokens\tsent/s\tstanding/s\topen debt")
	for _, tenant := range page.Tenants {
		writeTenantUses(table, tenant, page.Daemons)
	}
	return table.Flush()
}

// writeTenantUses prints the lines of one tenant: one for each daemon that has it in use, or one without use.
func writeTenantUses(out io.Writer, tenant operatorapi.Tenant, daemons []operatorapi.TenantDaemon) {
	rank := "-"
	if tenant.Rank != nil {
		rank = fmt.Sprint(*tenant.Rank)
	}
	used := false
	for _, daemon := range daemons {
		for _, use := range daemon.Tenants {
			if use.Tenant != tenant.Name {
				continue
			}
			used = true
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\n", tenant.Name, rank, limitText(tenant.TenantLimit), daemon.Daemon,
				use.Granted, use.OnCredit, use.Denied, use.Lapsed, use.Waiting, use.Tokens, use.SentPerSecond, use.StandingRate, use.Deficit)
		}
	}
	if !used {
		fmt.Fprintf(out, "%s\t%s\t%s%s\n", tenant.Name, rank, limitText(tenant.TenantLimit), strings.Repeat("\t-", 10))
	}
}

// limitText puts a limit into words.
func limitText(limit operatorapi.TenantLimit) string {
	if limit.RatePerSecond == 0 {
		return "none"
	}
	return fmt.Sprintf("%g/s + %g", limit.RatePerSecond, limit.Burst)
}

// writeTenantBuckets prints a line for each tenant that the leader has in use.
func writeTenantBuckets(out io.Writer, page operatorapi.Tenants) error {
	fmt.Fprintf(out, "\nat the leader %s, in term %d\n", page.Leader.Daemon, page.Leader.Term)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "tenant\tlevel\tcapacity\tgranted\tdenied\tdaemons\treserved\toverdue")
	for _, bucket := range page.Leader.Buckets {
		reserved, overdue := 0.0, []string{}
		for _, allowance := range bucket.Daemons {
			reserved += allowance.Reserved
			if allowance.Overdue {
				overdue = append(overdue, string(allowance.Daemon))
			}
		}
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%d\t%d\t%d\t%.1f\t%s\n", bucket.Tenant, bucket.Level, bucket.Capacity, bucket.Granted, bucket.Denied,
			len(bucket.Daemons), reserved, cmp.Or(strings.Join(overdue, ","), "-"))
	}
	return table.Flush()
}
