package registry

// Outcome is how an engine's call ended.
type Outcome string

const (
	// Acknowledged calls count. The draining of an engine is then committed by the consensus group and on its way to all
	// daemons in contact.
	Acknowledged Outcome = "acknowledged"
	// Unknown says that the call may not have reached everyone that it must: the engine is to repeat it at another daemon.
	Unknown Outcome = "unknown"
	// Invalid calls change nothing.
	Invalid Outcome = "invalid"
)

// Response is the answer to an engine; Field and Reason say what is wrong with an invalid call.
type Response struct {
	Outcome       Outcome
	Field, Reason string
}
