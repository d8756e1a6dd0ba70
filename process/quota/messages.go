package quota

import (
	"time"

	"github.com/cresspond/cresspond/ident"
)

// Claim is what a daemon asks and reports for one tenant.
type Claim struct {
	Tenant string
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Prefetch is the number of tokens wanted beyond those.
	Prefetch int
	// RatePerSecond is the smoothed rate at which the daemon spends the tenant's tokens.
	RatePerSecond float64
	// StandingRate is the rate in requests a second at which the daemon may spend on credit, as the leader gave it.
	StandingRate float64
	// StandingAge is the time since the daemon sent the request whose reply gave the standing rate.
	StandingAge time.Duration
	// CreditFrom and CreditTo delimit what was spent on credit and not acknowledged yet, on a counter of the daemon's
	// incarnation that only rises: the deficit is CreditTo - CreditFrom.
	CreditFrom, CreditTo uint64
}

// Request is one request of a daemon to the leader. The first one in a term carries a claim for each tenant for which
// the daemon has a standing rate.
type Request struct {
	Daemon ident.NodeID
	// Sequence numbers the requests of an incarnation. It only rises.
	Sequence uint64
	// Term is the latest term from which the daemon received a reply; 0 means none.
	Term   uint64
	Claims []Claim
}

// Allotment is the leader's answer to one claim.
type Allotment struct {
	Tenant string
	// Count is the number of tokens granted.
	Count int
	// RetryAfter is how long the daemon denies further requests without asking again. It is 0 if all that wait were
	// granted a token.
	RetryAfter time.Duration
	// StandingRate is the rate in requests a second at which the daemon may spend on credit while the leader is out of
	// reach.
	StandingRate float64
}

// Reply is the leader's answer to a Request.
type Reply struct {
	// Sequence is that of the request.
	Sequence uint64
	Term     uint64
	// LeaderFor is how long the leader has been allotting. What was spent on credit earlier is not charged.
	LeaderFor  time.Duration
	Allotments []Allotment
}
