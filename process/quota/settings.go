package quota

import "time"

const (
	// TokenValidity is how long after the request for it a token may be spent. It moves requests from one window into
	// the next, and is paid for by the slack.
	TokenValidity = 250 * time.Millisecond
	// PrefetchPeriod is for how long tokens are taken ahead, by the daemon's own rate. It is shorter than TokenValidity,
	// so that few tokens lapse unspent.
	PrefetchPeriod = 200 * time.Millisecond
	// KeepaliveInterval is the longest time between requests to the leader while a daemon has a standing rate.
	KeepaliveInterval = 430 * time.Millisecond
	// ContactTimeout is the time without a request after which the leader reserves a daemon's standing rates. What a daemon
	// that is lost spends until then is paid for by the slack. After a lost keepalive some is reserved for a short time, and
	// goes back with the next one.
	ContactTimeout = 500 * time.Millisecond
	// RetryInterval is the time between requests to a leader that does not answer.
	RetryInterval = 100 * time.Millisecond

	// MaximumCallTimeout is the longest time for which a daemon may wait for a reply. It is taken for a stop of the daemon
	// itself if Unanswered comes later, or if nothing at all happened for so long. A daemon with nothing to do is called
	// after KeepaliveInterval, which is shorter.
	MaximumCallTimeout = 500 * time.Millisecond

	// minimumRetryAfter and maximumRetryAfter bound how long a denial is valid.
	minimumRetryAfter = 100 * time.Millisecond
	maximumRetryAfter = time.Second
	// retryAfterTokens is how many tokens accrue from one denied daemon's next request to that of another.
	retryAfterTokens = 2
	// unreachableRetryAfter is the validity of a denial by a daemon whose credit is spent.
	unreachableRetryAfter = 200 * time.Millisecond

	// rateTimeConstant smooths a daemon's own rate.
	rateTimeConstant = 3 * time.Second
	// idleTimeout is the time without use after which a tenant or a daemon is forgotten.
	idleTimeout = 30 * time.Second
	// expireInterval is the time between searches for what is to be forgotten.
	expireInterval = time.Second

	// headroomFraction is the part of the margin that is added to each bucket's capacity, so that small clumps pass
	// under a limit with little or no burst.
	headroomFraction = 0.25
	// initialFraction is the part of the remaining slack with which a new leader's bucket starts: two changes of leader
	// in one window stay within it, with a rest for credit that is rounded up to whole tokens.
	initialFraction = 0.4
	// minimumCapacity lets a limit without burst and margin pass single requests.
	minimumCapacity = 1
)

// Limit is how many requests of one tenant may be sent, over all daemons. A RatePerSecond of 0 means no limit.
type Limit struct {
	// RatePerSecond is in requests a second.
	RatePerSecond float64
	// Burst is in requests above the rate.
	Burst float64
}

// daemonStandingRate is the highest standing rate of one daemon, in requests a second.
func (l Limit) daemonStandingRate() float64 { return daemonStandingFraction * l.RatePerSecond }

// Settings are the bounds of the fleet: in each Window a tenant's requests may number at most
// (RatePerSecond x Window + Burst) x (1 + Excess) + Margin.
type Settings struct {
	// Window is the length of the windows in which requests are counted.
	Window time.Duration
	// Excess is a fraction of the limit.
	Excess float64
	// Margin is a number of requests.
	Margin float64
}

// slack is how far the bounds lie above the limit itself, in requests.
func (s Settings) slack(limit Limit) float64 {
	return s.Excess*(limit.RatePerSecond*s.Window.Seconds()+limit.Burst) + s.Margin
}

// headroom is the part of the slack that a bucket holds above the burst.
func (s Settings) headroom() float64 { return headroomFraction * s.Margin }

// capacity is the highest level of a tenant's bucket. It holds what accrues while all daemons are denied, so that the
// limit can be used in full without a burst.
func (s Settings) capacity(limit Limit) float64 {
	accrued := limit.RatePerSecond * minimumRetryAfter.Seconds()
	return max(minimumCapacity, s.headroom()+max(limit.Burst, accrued))
}

// initialLevel is what the bucket of a new leader starts with. Tokens that its predecessor granted may still be spent for
// PrefetchPeriod.
func (s Settings) initialLevel(limit Limit) float64 {
	aboveBurst := s.capacity(limit) - limit.Burst
	rest := s.slack(limit) - aboveBurst - limit.RatePerSecond*PrefetchPeriod.Seconds()
	return min(s.capacity(limit), max(0, initialFraction*rest))
}

// lowestLevel bounds how far a bucket is overdrawn: to what accrues in one window.
func (s Settings) lowestLevel(limit Limit) float64 {
	return -limit.RatePerSecond * s.Window.Seconds()
}
