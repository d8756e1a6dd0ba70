package forwarding

// lack is why nothing can take a record now; of several reasons the greatest counts.
type blockReason uint8

const (
	notBlocked blockReason = iota
	// noEngines: the pool has no engine that may get anything new.
	blockedNoEngine
	// noModel: no engine holds what is asked for.
	blockedNoModel
	// allTried: all that fit were tried by this record.
	blockedAllTried
	// allFull: all that fit have all that this daemon may send them, or rest.
	blockedAllBusy
	blockReasonCount
)

// LackNames are the names of what may lack, in the order in which they are counted.
var BlockReasonNames = [blockReasonCount]string{"nothing", "engines", "models", "untried", "room"}
