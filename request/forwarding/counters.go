package forwarding

// Counters count events since the daemon started. Package daemon publishes them as metrics.
type Counters struct {
	// Admitted counts requests taken in; Queued those that were queued, each time.
	Admitted, Queued uint64
	// Sent counts requests whose first attempt reached an engine; Retried counts further attempts, RetriesDenied those
	// that the retry budget did not allow.
	Sent, Retried, RetriesDenied uint64
	// Withheld to StreamsBroken count attempts by Outcome.
	Withheld, Unreachable, RejectedByEngine, Misdirected uint64
	ResponsesLost, ProtocolErrors, StreamsBroken         uint64
	// Completed counts responses passed on in full, EngineErrors the engines' own errors passed on.
	Completed, EngineErrors uint64
	// Shed counts requests rejected because their first byte was expected too late.
	Shed uint64
	// Rejected counts requests answered by this daemon that did not run; EndedAfterLoss those that may have run;
	// Truncated those whose response had begun and was broken off.
	Rejected, EndedAfterLoss, Truncated uint64
	// CallersLeft counts requests whose callers disconnected; NoPath those for which the routing table has no path.
	CallersLeft, NoPath uint64
	// UnknownKeys counts requests without the key of a tenant on paths that need one.
	UnknownKeys uint64
	// Resumed counts streams that broke off and were resumed, or queued for it.
	Resumed uint64
	// Migrated counts attempts stopped at an evacuated engine to be made elsewhere, MigrationsDeclined those left there.
	Migrated, MigrationsDeclined uint64
	// Speculative counts attempts at engines that should have finished a load but have not reported it;
	// SpeculativeRejected those that the engine rejected since it had not.
	Speculative, SpeculativeRejected uint64
	// LastResort counts choices of an ejected engine, because no other could take the request, or only far later.
	LastResort uint64
	// QueuedBy counts queued requests by what blocked them, EndedBy this daemon's own answers by cause.
	QueuedBy [blockReasonCount]uint64
	EndedBy  [causeCount]uint64
}
