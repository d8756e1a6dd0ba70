package forwarding

// Counters are counted over a daemon's life.
type Counters struct {
	Admitted, Queued, Sent, Retried, RetriesDenied, Withheld, Unreachable, RejectedByEngine, Misdirected, ResponsesLost, ProtocolErrors, StreamsBroken uint64
	Completed, EngineErrors, Shed, Rejected, EndedAfterLoss, Truncated, CallersLeft, NoPath, Resumed, Migrated, MigrationsDeclined                     uint64
	// Speculative counts the attempts ahead of the news of a load, SpeculativeRefused those that came too soon.
	Speculative, SpeculativeRejected uint64
	// LastResort counts choices of an engine that is held back, since no other could take the request, or only late.
	LastResort uint64
	// HeldFor counts by what lacked, EndedFor by cause.
	QueuedBy [blockReasonCount]uint64
	EndedBy  [causeCount]uint64
}
