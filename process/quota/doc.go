// Package quota counts the requests of each tenant over all daemons of a fleet and keeps them within the tenant's limit.
//
// # Algorithm
//
// One token stands for one request sent to an engine. Tokens are made in one place: the Allocator at the leader of the
// consensus group has a token bucket for each active tenant. Each routing daemon has a Limiter. It takes tokens from the
// leader as they are needed, with one request at a time for all of its tenants, and some ahead for busy tenants
// (PrefetchPeriod). A token lapses TokenValidity after the daemon sent the request for it.
//
// While the leader doesn't answer, a Limiter spends on credit: at its standing rate, which the leader gave it for the
// tenant and which follows its recent spending, or at a small fraction of the tenant's rate if it has none. Credit
// falls off with the time since the standing rate was given (creditFraction). What was spent on credit is a deficit.
// It is reported with the next request, and the leader charges it to the bucket, which may become negative.
//
// The leader expects a daemon that has a standing rate to be in contact at least every KeepaliveInterval. Once a daemon
// is overdue (ContactTimeout), its standing rate is reserved from the bucket, from its last contact on. When it is back,
// the reserved amount is set against the deficit that it reports.
//
// A new leader knows nothing of its predecessor's grants. Its buckets start with a part of the slack that the limit's
// bounds leave (Settings.initialLevel), and what daemons that haven't reported yet may spend on credit is reserved until
// they do. Credit spent before it led is not charged: its own accrual begins when it leads, and the predecessor either
// reserved that credit or was gone, and then nobody gave out what accrued.
//
// # Invariants
//
//   - In each window, the requests of a tenant that are sent within their tokens' validity number at most
//     (rate x window + burst) x (1 + excess) + margin, summed over all daemons.
//   - A token is granted to one daemon and spent once: a Limiter accepts a reply only for the request in progress.
//     Tokens of a lost reply lapse unspent.
//   - Validity counts from before the request for the tokens was sent, on the daemon's monotonic clock.
//   - The standing rates that daemons may be using never add up to more than standingFraction of a tenant's rate.
//     A standing rate falls off on the daemon at least as early as the leader reckons.
//   - A deficit is charged at least once by the leader that receives it. A repeat within one term is recognized.
//   - Both sides keep state only for tenants in use (idleTimeout).
//
// # Preconditions
//
// At most one allocator allots at a time: its owner calls Allot only while it holds the leader's lease, so that a
// predecessor has stopped before a successor starts. A daemon's incarnation is retired when its successor of the same
// name makes a request, or by Allocator.Retire.
//
// # Ownership
//
// Allocator and Limiter are pure: they send nothing, read no clock, and belong to one goroutine each. Marks given to one
// of them come from one clock and never decrease.
package quota
