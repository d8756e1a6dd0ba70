package registry

// Verdict is what became of an engine's word.
type Verdict string

const (
	// Acknowledged words count; a leaving engine's is written down by the group, and on its way to all in contact.
	Acknowledged Verdict = "acknowledged"
	// Unknown says that the word may not be everywhere it must be: it is to be said again, to another daemon.
	Unknown Verdict = "unknown"
	// Invalid words change nothing.
	Invalid Verdict = "invalid"
)

// Outcome is the answer to an engine; Field and Reason say what is wrong with an invalid word.
type Outcome struct {
	Verdict       Verdict
	Field, Reason string
}
