package checker

import (
	"net/http"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// UnderLimit counts the attempts that tenants made under their limits, and those of them that were refused with 429.
type UnderLimit struct{ Attempts, Refused int }

// Share is the fraction that was refused.
func (u UnderLimit) Share() float64 {
	if u.Attempts == 0 {
		return 0
	}
	return float64(u.Refused) / float64(u.Attempts)
}

// RefusedUnderLimit counts over a run. It is a figure and no rule: what is refused under a limit loses its worth.
func RefusedUnderLimit(h *history.History, bounds Bounds) (figure UnderLimit) {
	b := newIndex(h, bounds)
	for _, attempt := range b.Attempts {
		if !b.underLimit[attempt.AttemptID] {
			continue
		}
		figure.Attempts++
		if answeredByDaemon(attempt) && attempt.Status == http.StatusTooManyRequests {
			figure.Refused++
		}
	}
	return figure
}

// tokenBucket is what a tenant may still ask. Its level falls below zero by what was asked above the limit, so that a
// tenant that asks too much is not under its limit until it has asked less for a while.
type tokenBucket struct {
	level float64
	at    clock.Mark
}

// take takes a token under a limit and says whether the tenant asks under it.
func (u *tokenBucket) take(at clock.Mark, limit protocol.Tenant, deficitMax float64) bool {
	u.level = min(limit.Burst, u.level+at.Since(u.at).Seconds()*limit.RatePerS)
	u.at = at
	u.level = max(u.level-1, -deficitMax)
	return u.level >= 0
}

// markUnderLimit marks the attempts that tenants made under their limits, by attempt id. It needs the attempts sorted.
func (b *index) markUnderLimit() {
	buckets := map[string]*tokenBucket{}
	for _, attempt := range b.Attempts {
		if attempt.Tenant == "" || attempt.Absent || attempt.Sent == 0 {
			continue
		}
		limit, limited := b.smallestLimit(attempt)
		if !limited {
			continue
		}
		bucket := buckets[attempt.Tenant]
		if bucket == nil {
			bucket = &tokenBucket{level: limit.Burst, at: attempt.Began}
			buckets[attempt.Tenant] = bucket
		}
		b.underLimit[attempt.AttemptID] = bucket.take(attempt.Began, limit, limit.RatePerS*b.bounds.QuotaWindow.Seconds())
	}
}

// smallestLimit is the smallest limit of an attempt's tenant over all versions that may be in force; limited is false
// where one of them does not have the tenant or its key, or none has a limit.
func (b *index) smallestLimit(attempt *history.Attempt) (smallest protocol.Tenant, limited bool) {
	for _, version := range b.versions[min(b.oldestValid(attempt.Began, b.applyBound(attempt.Began)), len(b.versions)):] {
		if version.Began > attempt.Ended {
			continue
		}
		if !hasKey(version.Config, attempt.Tenant, attempt.Key) || isPublic(version.Config, attempt) {
			return protocol.Tenant{}, false
		}
		tenant := version.Config.Tenant(attempt.Tenant)
		if tenant.Limited() && (!limited || b.allowance(*tenant) < b.allowance(smallest)) {
			smallest, limited = *tenant, true
		}
	}
	return smallest, limited
}

// beyondLimit says that an attempt was refused because its tenant asked above its limit: no answer is owed.
func (b *index) beyondLimit(attempt *history.Attempt) bool {
	return attempt.Tenant != "" && answeredByDaemon(attempt) && attempt.Status == http.StatusTooManyRequests && !b.underLimit[attempt.AttemptID]
}
