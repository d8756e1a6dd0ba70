package deduplication

// Responses are what the owners of an attempt answered to one request.
type Responses struct {
	// Authoritative says that an owner responded that would know of every earlier claim.
	Authoritative bool
	// Replicated says that another daemon recorded the request too.
	Replicated bool
	Received   []Response
}

// Decision is what the requester may do, given all responses.
type Decision string

const (
	// Proceed says that the requester may continue.
	Proceed Decision = "may"
	// Replay says that the attempt is claimed elsewhere.
	Replay Decision = "replay"
	// Mismatch says that the attempt's identifier was used for another request.
	Mismatch Decision = "other-body"
	// Rejected says that the attempt was rejected elsewhere.
	Rejected Decision = "refused"
	// Undetermined says that no owner that would know could be reached.
	Undetermined Decision = "doubt"
)

// Decide combines the responses. A response that proves a claim takes precedence over all others.
func Decide(responses Responses) Decision {
	decision := Proceed
	if !responses.Authoritative || !responses.Replicated {
		decision = Undetermined
	}
	for _, response := range responses.Received {
		switch response {
		case ClaimedElsewhere:
			return Replay
		case DigestMismatch:
			return Mismatch
		case RejectedSinceArrival:
			decision = Rejected
		}
	}
	return decision
}
