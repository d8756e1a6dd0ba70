package forwarding

// blockReason is why no engine can take a request now. The constants are ordered: of several engines' reasons the
// greatest, which came closest to an engine, is the request's.
type blockReason uint8

const (
	notBlocked blockReason = iota
	// blockedNoEngine: the pool has no engine that accepts new requests.
	blockedNoEngine
	// blockedNoModel: no engine has loaded the model and adapter.
	blockedNoModel
	// blockedAllTried: the request was sent to each suitable engine already.
	blockedAllTried
	// blockedAllBusy: each suitable engine is in backoff, or has as many attempts as this daemon may have there.
	blockedAllBusy
	blockReasonCount
)

// BlockReasonNames are the names used in metrics and logs, indexed by blockReason.
var BlockReasonNames = [blockReasonCount]string{"nothing", "engines", "models", "untried", "room"}
