package checker

import (
	"slices"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// sent lists the changes that had been sent by the time of an arrival, also those that were refused.
func (b *index) sent(arrival *history.Arrival) (out []*history.Change) {
	for _, list := range [][]*history.Change{b.versions, b.rejected} {
		for _, change := range list {
			if change.Began <= arrival.At {
				out = append(out, change)
			}
		}
	}
	return out
}

// hasKey says whether a tenant holds a key in a configuration.
func hasKey(config *protocol.Config, tenant, key string) bool {
	owner := config.TenantByKey(key)
	return owner != nil && owner.Label == tenant
}

// hasKeyInAnyVersion says whether a tenant holds a key in any version.
func (b *index) hasKeyInAnyVersion(tenant, key string) bool {
	return slices.ContainsFunc(b.versions, func(version *history.Change) bool { return hasKey(version.Config, tenant, key) })
}

// mayIgnoreKeys says whether a version without tenants may handle a request: it passes keys on as any other header.
func (b *index) mayIgnoreKeys(attempt *history.Attempt, arrival *history.Arrival) bool {
	oldest := 0
	if b.inContact(attempt.Daemon, arrival.At) {
		oldest = b.oldestValid(attempt.Began, b.applyBound(attempt.Began))
	}
	for _, version := range b.versions[min(oldest, len(b.versions)):] {
		if version.Began <= arrival.At && !version.Config.HasTenants() {
			return true
		}
	}
	return false
}

// tenantFault says what is wrong with the tenant and key under which a request reached an engine; empty is nothing.
func (b *index) tenantFault(attempt *history.Attempt, arrival *history.Arrival) string {
	sent := b.sent(arrival)
	withTenants := slices.ContainsFunc(sent, func(change *history.Change) bool { return change.Config.HasTenants() })
	if !withTenants || b.mayIgnoreKeys(attempt, arrival) {
		return ""
	}
	if arrival.Authorized {
		return "ran with an Authorization header, which is withheld from engines"
	}
	switch len(arrival.Tenants) {
	case 0:
		if slices.ContainsFunc(sent, func(change *history.Change) bool { return isPublic(change.Config, attempt) }) {
			return ""
		}
		return "ran with no X-Tenant"
	case 1:
		tenant := arrival.Tenants[0]
		if slices.ContainsFunc(sent, func(change *history.Change) bool { return hasKey(change.Config, tenant, attempt.Key) }) {
			return ""
		}
		return "ran with X-Tenant " + tenant + ", which never held its key"
	}
	return "ran with several X-Tenant headers"
}

// isPublic says whether a configuration lets a request run without a key.
func isPublic(config *protocol.Config, attempt *history.Attempt) bool {
	route := config.Find(attempt.Host, pathOf(attempt.URI))
	return route != nil && route.Public
}

// admits says whether a configuration has a route for an attempt and lets it run with its key.
func admits(config *protocol.Config, attempt *history.Attempt) bool {
	route := config.Find(attempt.Host, pathOf(attempt.URI))
	return route != nil && config.Admits(route, attempt.Key)
}

// alwaysAdmitted says whether all versions that may be in force while an attempt lasts admit it.
func (b *index) alwaysAdmitted(attempt *history.Attempt) bool {
	if len(b.versions) == 0 {
		return true
	}
	for _, version := range b.versions[b.oldestValid(attempt.Began, b.applyBound(attempt.Began)):] {
		if version.Began <= attempt.Ended && !admits(version.Config, attempt) {
			return false
		}
	}
	return true
}

// keyFault says that a request ran with a key that no configuration ever held; empty is nothing.
func (b *index) keyFault(attempt *history.Attempt) string {
	admitted := func(change *history.Change) bool { return admits(change.Config, attempt) }
	if slices.ContainsFunc(b.versions, admitted) || slices.ContainsFunc(b.rejected, admitted) {
		return ""
	}
	if attempt.Key == "" {
		return "ran without a key"
	}
	return "ran with a key that no configuration ever held"
}
