// Package document is the operators' configuration document: its fields, and how it is parsed and validated.
//
// Parse is for bytes from anywhere: it refuses unknown fields, duplicate keys, and what contradicts itself, and reports
// every fault with its path. ParseCommitted is for bytes that the group committed, which Parse accepted before. The JSON
// names are the interface to operators, and part of what the replicated state holds.
package document

import (
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

// Configuration is the document that operators write: zones, engines, the catalogue of models, routes, and limits.
type Configuration struct {
	Name     string    `json:"name" validate:"required,max=120"`
	Zones    []Zone    `json:"zones" validate:"required,min=1,dive"`
	Engines  []Engine  `json:"engines" validate:"required,min=1,dive"`
	Models   []Model   `json:"models" validate:"required,min=1,dive"`
	Adapters []Adapter `json:"adapters" validate:"dive"`
	Routes   []Route   `json:"routes" validate:"required,min=1,dive"`
	Store    Store     `json:"store"`
	Limits   Limits    `json:"limits"`
	// Forward is set for deployments whose requests are opaque; the fields on sessions may then be left out.
	Forward *upstream.Section `json:"forward,omitempty"`
}

// Zone is one failure domain of machines.
type Zone struct {
	Name ident.ZoneID `json:"name" validate:"required,max=64"`
}

// Engine is a back end that may be used; its address comes from the platform. Capacity is in the unit of Model.Size.
type Engine struct {
	ID           ident.EngineID `json:"id" validate:"required,max=64"`
	Zone         ident.ZoneID   `json:"zone" validate:"required"`
	Capacity     int64          `json:"room" validate:"gt=0"`
	AdapterSlots int            `json:"adapterPlaces" validate:"gte=0,lte=10000"`
	Slots        int            `json:"slots" validate:"gt=0,lte=100000"`
}

// Model is one entry of the catalogue. Its size is in a unit of the operators' choice, that of Engine.Capacity.
type Model struct {
	Name string `json:"name" validate:"required,max=120"`
	Size int64  `json:"size" validate:"gt=0"`
}

// Adapter belongs to one model.
type Adapter struct {
	Name  string `json:"name" validate:"required,max=120"`
	Model string `json:"model" validate:"required"`
}

// Route is what a caller names: a tenant's right to use models and adapters, and its priority.
type Route struct {
	Name   string `json:"name" validate:"required,max=120"`
	Tenant string `json:"house" validate:"required,max=120"`
	// Priority decides between routes: the highest is placed first. Among equal ones the lower rank goes first.
	Priority int64    `json:"worth" validate:"gte=0,lte=1000000000"`
	Rank     int      `json:"rank" validate:"gte=0,lte=1000000"`
	Models   []string `json:"models" validate:"required,min=1"`
	Adapters []string `json:"adapters"`
	// MaxPending bounds how many requests of this route one daemon queues or runs; zero is the limit for all routes.
	MaxPending int `json:"mostHeld" validate:"gte=0,lte=1000000"`
}

// Store is the rate at which models may be loaded from the store, over all engines.
type Store struct {
	MaxConcurrentLoads int   `json:"loadsAtOnce" validate:"gt=0,lte=1000"`
	LoadIntervalMs     int64 `json:"loadGapMs" validate:"gte=0,lte=3600000"`
}

// Limits bound what one daemon accepts.
type Limits struct {
	MaxBodyBytes     int   `json:"mostBodyBytes" validate:"gt=0,lte=4194304"`
	MaxPending       int   `json:"mostHeld" validate:"gt=0,lte=1000000"`
	MaxPendingBytes  int64 `json:"mostHeldBytes" validate:"gt=0"`
	MaxDeadlineMs    int64 `json:"mostDeadlineMs" validate:"gt=0,lte=600000"`
	AssignmentIdleMs int64 `json:"seatIdleMs" validate:"gt=0,lte=86400000"`
	// MaxRetryRatio is the greatest fraction of first attempts that may be followed by another.
	MaxRetryRatio float64 `json:"retryShare" validate:"gte=0,lte=0.5"`
}

// ServesSessions says whether any field on sessions is set.
func (s *Configuration) ServesSessions() bool {
	return len(s.Engines)+len(s.Models)+len(s.Adapters)+len(s.Routes) > 0 || s.Store != (Store{}) || s.Limits != (Limits{})
}
