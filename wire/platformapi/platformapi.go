// Package platformapi holds the forms of the platform: its lagging list of engines.
package platformapi

import "github.com/cresspond/cresspond/ident"

// PathEngines is where the list is read.
const PathEngines = "/engines"

// List is one reading of the platform's list.
type List struct {
	Engines []Engine `json:"engines"`
}

// Engine is one row; an engine may be on its way out.
type Engine struct {
	ID       ident.EngineID `json:"id"`
	Address  string         `json:"address"`
	Zone     ident.ZoneID   `json:"zone"`
	Draining bool           `json:"draining,omitempty"`
}
