package daemonconfig

// Bounds are the times and amounts that a deployment holds its daemons to.
type Bounds struct {
	// HeartbeatMs is how often an engine says that it lives.
	HeartbeatMs int64 `json:"beatMs" validate:"gt=0"`
	// ContactMs is how long daemons must have been whole and joined before bounds hold for them.
	ContactMs int64 `json:"contactMs" validate:"gt=0"`
	// AcknowledgeMs is how long an operator waits at most for an acknowledgement.
	AcknowledgeMs int64 `json:"acknowledgeMs" validate:"gt=0"`
	// CatchUpMs is how soon after its start a new member must vote.
	CatchUpMs int64 `json:"catchUpMs" validate:"gt=0"`
	// EngineDrainMs is how long after its leaving was acknowledged an engine may still be sent requests.
	EngineDrainMs int64 `json:"leaveMs" validate:"gt=0"`
	// AddressReuseMs is when the address of an engine that ended may be another's.
	AddressReuseMs int64 `json:"addressReuseMs" validate:"gte=0"`
	// ApplyMs is when an acknowledged bundle must be in force everywhere, RevertMs how soon after one was
	// seen in force a daemon may no longer go by an older one.
	ApplyMs  int64 `json:"applyMs" validate:"gt=0"`
	RevertMs int64 `json:"revertMs" validate:"gte=0"`
	// RetryRatio and RetrySlack bound, within RetryWindowMs and over all daemons, how many attempts go to a
	// pool beyond the first of each request.
	RetryRatio    float64 `json:"retryRatio" validate:"gte=0"`
	RetryWindowMs int64   `json:"retryWindowMs" validate:"gt=0"`
	RetrySlack    float64 `json:"retrySlack" validate:"gte=0"`
	// RetryAfterMs is when a refused client comes back if it was not told; zero is not known.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" validate:"gte=0"`
	// RecoverMs is when requests must be served again after all machines were down.
	RecoverMs int64 `json:"recoverMs" validate:"gt=0"`
	// PassMs is how long an event may take through a daemon, LossSlackMs how long a request that was read may
	// lie unanswered in one that stops.
	PassMs      int64 `json:"passMs" validate:"gt=0"`
	LossSlackMs int64 `json:"lossSlackMs" validate:"gte=0"`
	// FencingChecked says that engines refuse orders under a lower fence than they have seen. LeaseMs is the
	// least time between orders of two planners, ThawSlackMs how long after a thaw an order may still come.
	FencingChecked bool  `json:"fenceChecked,omitempty"`
	LeaseMs        int64 `json:"leaseMs" validate:"gt=0"`
	ThawSlackMs    int64 `json:"thawSlackMs" validate:"gte=0"`
	// OriginWindowMs is the window over which loads from the store are counted, OriginExcess how far they may
	// pass its pace within it.
	OriginWindowMs int64   `json:"originWindowMs" validate:"gt=0"`
	OriginExcess   float64 `json:"originExcess" validate:"gte=0"`
}

// DefaultBounds are the bounds of a deployment that says nothing.
func DefaultBounds() Bounds {
	return Bounds{HeartbeatMs: 1000, ContactMs: 3000, AcknowledgeMs: 4000, CatchUpMs: 4000, EngineDrainMs: 2000, AddressReuseMs: 2000, ApplyMs: 2000,
		RevertMs: 250, RetryRatio: 0.2, RetryWindowMs: 10000, RetrySlack: 10, RecoverMs: 12000, PassMs: 120, LossSlackMs: 200, LeaseMs: 3000,
		ThawSlackMs: 300, OriginWindowMs: 5000, OriginExcess: 1}
}
