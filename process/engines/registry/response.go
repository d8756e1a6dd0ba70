package registry

// Verdict is what became of an engine's word.
type Outcome string

const (
	// Acknowledged words count; a leaving engine's is written down by the group, and on its way to all in contact.
	Acknowledged Outcome = "acknowledged"
	// Unknown says that the word may not be everywhere it must be: it is to be said again, to another daemon.
	Unknown Outcome = "unknown"
	// Invalid words change nothing.
	Invalid Outcome = "invalid"
)

// Outcome is the answer to an engine; Field and Reason say what is wrong with an invalid word.
type Response struct {
	Outcome       Outcome
	Field, Reason string
}
