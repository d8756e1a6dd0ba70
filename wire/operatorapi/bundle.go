package operatorapi

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

const (
	// PathBundle accepts a complete configuration (PUT), changes of named items (PATCH), and gives the newest (GET).
	PathBundle = "/v1/bundle"
	// HeaderRevision carries the revision of a configuration that is read back: the base of the next.
	HeaderRevision = "X-Bundle-Revision"
)

// ApplyRequest is one operator's call to put a bundle in force in one step. One of Configuration, Patch and Faults is there.
type ApplyRequest struct {
	// Base is the revision in force that the request builds on; 0 for the first.
	Base ident.Revision `json:"base"`
	// Digest distinguishes this request from all others: a retry has the same one, and finds its effect.
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
	// Configuration is a bundle that spec.Read can read; whether it is sound, the leader checks.
	Configuration []byte          `json:"whole,omitempty"`
	Patch         *upstream.Patch `json:"patch,omitempty"`
	// Faults say why what the operator sent can't be read here. Such a request can't take effect, but an earlier copy may
	// have, with a build that read it: it is still asked for by its digest.
	Faults []document.Fault `json:"-"`
}

// RequestDigest makes a request's digest of all that its sender sent, byte for byte.
func RequestDigest(method string, base ident.Revision, body []byte) string {
	sum := sha256.New()
	sum.Write([]byte(method + " " + strconv.FormatUint(uint64(base), 10) + "\n"))
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// ApplyOutcome says how such a call ended.
type ApplyOutcome string

const (
	// Applied: it is committed, now or by an earlier copy.
	Applied ApplyOutcome = "applied"
	// Conflicted: it provably lost, and is never in force.
	Conflicted ApplyOutcome = "conflict"
	// Invalid: it has faults, and is never in force.
	Invalid ApplyOutcome = "invalid"
	// Forbidden: this fleet accepts no configuration in one step.
	Forbidden ApplyOutcome = "forbidden"
	// Unknown: nobody here can tell; a retry finds out.
	Unknown ApplyOutcome = "unknown"
)

// ApplyResponse is the answer to such a call.
type ApplyResponse struct {
	Outcome ApplyOutcome `json:"outcome"`
	// Revision and Epoch are what was in force when the answer was made.
	Revision ident.Revision `json:"revision,omitempty"`
	Version  ident.Version  `json:"epoch,omitempty"`
	// Acknowledged says that it is in force at all daemons in contact with the leader.
	Acknowledged bool             `json:"acknowledged,omitempty"`
	InForceAt    []ident.NodeID   `json:"inForceAt,omitempty"`
	Missing      []ident.NodeID   `json:"missing,omitempty"`
	Faults       []document.Fault `json:"faults,omitempty"`
	Reason       string           `json:"reason,omitempty"`
}

// Bundle is the newest bundle, as it was handed in or merged.
type Bundle struct {
	Revision ident.Revision
	Version  ident.Version
	// Configuration is the bundle's bytes; nothing before the first.
	Configuration []byte
}
