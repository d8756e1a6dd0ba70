// Package engineapi holds the forms that engines speak: the piece stream, orders and reports.
package engineapi

import "github.com/cresspond/cresspond/ident"

const (
	// PathGenerate is where an engine takes requests.
	PathGenerate = "/api/generate"
	// PathOrder is where an engine takes orders.
	PathOrder = "/api/order"
	// PathReport is where an engine reports what it holds.
	PathReport = "/api/report"
	// HeaderAttempt carries the caller's attempt id, unchanged.
	HeaderAttempt = "X-Attempt-Id"
)

// Generate is one piece of work.
type Generate struct {
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Prefix     string `json:"prefix,omitempty"`
	Prompt     string `json:"prompt"`
	Session    string `json:"session,omitempty"`
	DeadlineMs int64  `json:"deadlineMs"`
}

// Piece is one line of the answer; the last one says final.
type Piece struct {
	Attempt string `json:"attempt"`
	N       int    `json:"n"`
	Text    string `json:"piece,omitempty"`
	Final   bool   `json:"final,omitempty"`
	// Pieces is how many pieces came before the final line.
	Pieces int `json:"pieces,omitempty"`
}

// Refusal is an engine's word that the work has not run and never will.
type Refusal struct {
	Refused bool   `json:"refused"`
	Reason  string `json:"reason"`
}

// OrderKind says what is to be done.
type OrderKind string

const (
	// Load: load a model from the store.
	Load OrderKind = "load"
	// Unload: drop a model.
	Unload OrderKind = "unload"
	// LoadAdapter: load an adapter of a loaded model.
	LoadAdapter OrderKind = "load-adapter"
	// UnloadAdapter: drop an adapter.
	UnloadAdapter OrderKind = "unload-adapter"
)

// Order is one load order.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	// Stamp is the minted id of this order, Claim the number of the claim it is given under.
	Stamp ident.SnowflakeID  `json:"stamp,string"`
	Claim ident.FencingToken `json:"claim"`
}

// OrderAnswer says only that an order was taken or refused, never that it is done.
type OrderAnswer struct {
	Taken  bool   `json:"taken"`
	Reason string `json:"reason,omitempty"`
}

// ModelState is how far a model is.
type ModelState string

const (
	// Loading: it can't run requests yet.
	Loading ModelState = "loading"
	// Loaded: it can run requests.
	Loaded ModelState = "loaded"
	// Unloading: it takes no new requests, and still takes room.
	Unloading ModelState = "unloading"
)

// ModelReport is one model an engine holds.
type ModelReport struct {
	Model    string     `json:"model"`
	State    ModelState `json:"state"`
	Adapters []string   `json:"adapters"`
}

// Report is what an engine says of itself; it may lag.
type Report struct {
	// CallSeq counts the orders the engine had seen when this report was made.
	CallSeq   uint64        `json:"call-seq"`
	Saturated bool          `json:"saturated"`
	Models    []ModelReport `json:"models"`
	Draining  bool          `json:"draining,omitempty"`
	Busy      int           `json:"busy"`
}
