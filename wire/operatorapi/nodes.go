package operatorapi

import "github.com/cresspond/cresspond/ident"

// PathNodes lists the engines by the health of their nodes, the worst first, and accepts operators' actions on one.
const PathNodes = "/v1/nodes"

// Node is one row of the ranking.
type Node struct {
	Engine ident.EngineID `json:"engine"`
	Pool   string         `json:"pool"`
	Zone   ident.ZoneID   `json:"zone"`
	Stage  string         `json:"stage"`
	// SinceMs is for how long it has been in its stage.
	SinceMs int64 `json:"sinceMs"`
	// Score is how many times slower it is than others with like work; 0 is that not enough is known.
	Score float64 `json:"score"`
	// Kind is what it is slowest in, Value what was measured there, Others the same of the others.
	Kind    string  `json:"kind,omitempty"`
	Value   float64 `json:"value,omitempty"`
	Others  float64 `json:"others,omitempty"`
	Samples int     `json:"samples,omitempty"`
	// Observers is from how many zones it is seen, SlowPaths from which alone it is slow.
	Observers int            `json:"observers,omitempty"`
	SlowPaths []ident.ZoneID `json:"slowPaths,omitempty"`
	// Closed says that no new request goes to it, ClosedBy who drains it, ClosedReason why the ranking does, ProtectedBy
	// who protects it from the ranking.
	Closed       bool   `json:"shut,omitempty"`
	ClosedBy     string `json:"shutBy,omitempty"`
	ClosedReason string `json:"shutFor,omitempty"`
	ProtectedBy  string `json:"kept,omitempty"`
	// Refusal is why the ranking does not drain it though it is slow.
	Refusal string `json:"refusal,omitempty"`
}

// Nodes is the list.
type Nodes struct {
	// Mode is what ranking is used for: off, watch or drain.
	Mode  string             `json:"mode"`
	Token ident.FencingToken `json:"claim"`
	// ClosureVersion is the one that the list was made under, and that what operators say builds on.
	ClosureVersion ident.Version `json:"closureEpoch"`
	Nodes          []Node        `json:"nodes"`
	// DrainCheck is whether the engine that was asked about may be drained: allowed, or why not.
	DrainCheck       string `json:"asked,omitempty"`
	DrainCheckReason string `json:"askedReason,omitempty"`
}

// What operators may say of a node.
const (
	NodeDrain   = "drain"
	NodeProtect = "keep"
	NodeRelease = "release"
)

// NodeAction drains an engine, keeps it from the ranking, or takes both back.
type NodeAction struct {
	Engine   ident.EngineID `json:"engine"`
	Action   string         `json:"act"`
	Operator string         `json:"operator"`
}
