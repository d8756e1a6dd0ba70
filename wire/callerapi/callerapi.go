// Package callerapi holds the forms that callers speak.
package callerapi

const (
	// PathGenerate is where a daemon takes requests.
	PathGenerate = "/v1/generate"
	// HeaderAttempt is the caller's own id of the attempt.
	HeaderAttempt = "X-Attempt-Id"
)

// Generate is a caller's request.
type Generate struct {
	Route      string `json:"route"`
	House      string `json:"house"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter"`
	Prefix     string `json:"prefix"`
	Prompt     string `json:"prompt"`
	Session    string `json:"session"`
	DeadlineMs int64  `json:"deadlineMs"`
	// Repeatable is the caller's word that the work may run twice; it is false unless said.
	Repeatable bool `json:"repeatable"`
	// EndSession gives the seat up once this request is answered.
	EndSession bool `json:"endSession"`
}

// Outcome tells a caller what became of a request that brought no complete answer.
type Outcome string

const (
	// Invalid: the request was wrong, and nothing was sent.
	Invalid Outcome = "invalid"
	// Refused: the work has not run and never will.
	Refused Outcome = "refused"
	// Unknown: the work may have run, and no piece of an answer was seen.
	Unknown Outcome = "unknown"
	// BrokenOff: pieces were sent, and the rest will not come.
	BrokenOff Outcome = "broken-off"
	// Replay: this attempt id is known here, and is not run again.
	Replay Outcome = "replay"
)

// Error is the body of every answer that is not a stream.
type Error struct {
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	Field        string  `json:"field,omitempty"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
}

// Piece is one line of an answer's stream. A stream that lacks the final line is not whole.
type Piece struct {
	Attempt string  `json:"attempt"`
	N       int     `json:"n"`
	Text    string  `json:"piece,omitempty"`
	Final   bool    `json:"final,omitempty"`
	Pieces  int     `json:"pieces,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  string  `json:"reason,omitempty"`
}
