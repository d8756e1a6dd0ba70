package daemonconfig

// Bounds are the limits that a deployment sets for its daemons. Names that end in Ms are milliseconds.
type Bounds struct {
	// HeartbeatMs is the interval of engines' heartbeats.
	HeartbeatMs int64 `json:"beatMs" validate:"gt=0"`
	// ContactMs is how long daemons must have been up and connected before the limits apply to them.
	ContactMs int64 `json:"contactMs" validate:"gt=0"`
	// AcknowledgeMs is the maximum time to acknowledge an operator's request.
	AcknowledgeMs int64 `json:"acknowledgeMs" validate:"gt=0"`
	// CatchUpMs is the time from its start within which a new member must vote.
	CatchUpMs int64 `json:"catchUpMs" validate:"gt=0"`
	// EngineDrainMs is how long after its drain was acknowledged an engine may still be sent requests.
	EngineDrainMs int64 `json:"leaveMs" validate:"gt=0"`
	// AddressReuseMs is how long after an engine's end another one may have its address.
	AddressReuseMs int64 `json:"addressReuseMs" validate:"gte=0"`
	// ApplyMs is the time from its acknowledgement within which a bundle must be in force everywhere, RevertMs the time
	// after a bundle was seen in force from which no daemon may use an older one.
	ApplyMs  int64 `json:"applyMs" validate:"gt=0"`
	RevertMs int64 `json:"revertMs" validate:"gte=0"`
	// RetryRatio and RetrySlack limit the retries, the attempts beyond the first of each request, to a pool by all daemons
	// within RetryWindowMs: to a fraction of the requests, plus a number.
	RetryRatio    float64 `json:"retryRatio" validate:"gte=0"`
	RetryWindowMs int64   `json:"retryWindowMs" validate:"gt=0"`
	RetrySlack    float64 `json:"retrySlack" validate:"gte=0"`
	// RetryAfterMs is when a rejected client retries if the response did not say when; zero: unknown.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" validate:"gte=0"`
	// RecoverMs is the time within which requests must be served again after all machines were down.
	RecoverMs int64 `json:"recoverMs" validate:"gt=0"`
	// PassMs is the maximum latency of an event through a daemon, LossSlackMs how long a request that was read may be
	// unanswered in one that stops.
	PassMs      int64 `json:"passMs" validate:"gt=0"`
	LossSlackMs int64 `json:"lossSlackMs" validate:"gte=0"`
	// FencingChecked says that engines reject commands with a lower fencing token than they have seen. LeaseMs is the
	// minimum time between commands of two planners, ThawSlackMs how long after a frozen process resumes a command of it
	// may still arrive.
	FencingChecked bool  `json:"fenceChecked,omitempty"`
	LeaseMs        int64 `json:"leaseMs" validate:"gt=0"`
	ThawSlackMs    int64 `json:"thawSlackMs" validate:"gte=0"`
	// OriginWindowMs is the window over which loads from the store are counted, OriginExcess by how much they may exceed
	// its rate within it.
	OriginWindowMs int64   `json:"originWindowMs" validate:"gt=0"`
	OriginExcess   float64 `json:"originExcess" validate:"gte=0"`
	// QuotaWindowMs, QuotaExcess and QuotaMargin say how far the fleet may exceed a tenant's limit: in any such window by a
	// fraction of what the limit allows there, plus a number of requests.
	QuotaWindowMs int64   `json:"quotaWindowMs,omitempty" validate:"gt=0"`
	QuotaExcess   float64 `json:"quotaExcess,omitempty" validate:"gte=0"`
	QuotaMargin   float64 `json:"quotaMargin,omitempty" validate:"gte=0"`
	// RevocationClosed says that a daemon that may not know of a withdrawn key accepts none: after RevokeMs without a
	// majority's confirmation of its configuration it rejects requests that need a key.
	RevocationClosed bool  `json:"revocationClosed,omitempty"`
	RevokeMs         int64 `json:"revokeMs,omitempty" validate:"gt=0"`
}

// DefaultBounds are the limits of a deployment that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		HeartbeatMs:    1000,
		ContactMs:      3000,
		AcknowledgeMs:  4000,
		CatchUpMs:      4000,
		EngineDrainMs:  2000,
		AddressReuseMs: 2000,
		ApplyMs:        2000,
		RevertMs:       250,
		RetryRatio:     0.2,
		RetryWindowMs:  10000,
		RetrySlack:     10,
		RecoverMs:      12000,
		PassMs:         120,
		LossSlackMs:    200,
		LeaseMs:        3000,
		ThawSlackMs:    300,
		OriginWindowMs: 5000,
		OriginExcess:   1,
		QuotaWindowMs:  5000,
		QuotaExcess:    0.1,
		RevokeMs:       5000,
	}
}
