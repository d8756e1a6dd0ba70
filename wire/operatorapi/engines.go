package operatorapi

import "github.com/cresspond/cresspond/ident"

// PathEngines lists the engines that register themselves; an engine's own path is behind it and a slash.
const PathEngines = "/v1/engines"

// LoadedModel is one model that an engine has loaded, with its adapters.
type LoadedModel struct {
	Model      string   `json:"model" validate:"required,max=200"`
	Generation uint64   `json:"generation"`
	Adapters   []string `json:"adapters" validate:"max=65536,dive,required,max=200"`
}

// Registration is what an engine reports about itself, again and again.
type Registration struct {
	Pool           string        `json:"pool" validate:"required,max=200"`
	Address        string        `json:"address" validate:"required,ipport"`
	Zone           ident.ZoneID  `json:"zone" validate:"max=200"`
	Software       string        `json:"software" validate:"max=200"`
	Slots          int           `json:"slots" validate:"gte=1,lte=1000000"`
	Draining       bool          `json:"leaving"`
	TerminatesInMs int64         `json:"leaveMs,omitempty" validate:"gte=0"`
	SlowStartMs    int64         `json:"coldMs,omitempty" validate:"gte=0"`
	Phase          string        `json:"phase,omitempty" validate:"max=200"`
	Models         []LoadedModel `json:"models" validate:"max=65536,dive"`
	// CallSeq rises with each call, so that a late one can be known.
	CallSeq uint64 `json:"callSeq" validate:"required"`
}

// The conditions of a registered engine.
const (
	EngineUsable       = "usable"
	EngineDraining     = "leaving"
	EngineUnresponsive = "silent"
	EngineRemoved      = "gone"
)

// RegisteredEngine is one row of the list.
type RegisteredEngine struct {
	ID ident.EngineID `json:"id"`
	Registration
	Condition string `json:"condition"`
	// LastContactMsAgo is when any control daemon last had contact with it, as far as the responding daemon knows.
	LastContactMsAgo int64 `json:"heardMsAgo"`
	// Token and Turn are of the planner's newest order for it.
	Token    ident.FencingToken `json:"claim,omitempty"`
	Sequence uint64             `json:"turn,omitempty"`
}

// Engines is the list.
type Engines struct {
	Version uint64             `json:"version"`
	Engines []RegisteredEngine `json:"engines"`
}

// RegistrationResponse answers an engine.
type RegistrationResponse struct {
	Outcome string `json:"outcome"`
}
