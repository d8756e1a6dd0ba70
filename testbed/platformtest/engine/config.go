package engine

import (
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Config is what a stand-in is told. It stays over its lives.
type Config struct {
	// Name is the machine's; each life adds a number to it and has its id so.
	Name, Service, Zone, Address string
	Software                     string
	HealthPath                   string
	MaxConns                     int
	// IdleClose ends idle connections; it is told as Keep-Alive if TellIdle.
	IdleClose     time.Duration
	AdvertiseIdle bool
	// CloseEach puts Connection: close into each answer of that number; zero never does.
	CloseEach int
	// ContinueOnClose: it works on when a caller's connection closes.
	ContinueOnClose bool
	// Chunked answers to plain requests come in chunks, and not by length.
	Chunked bool

	// Pace and Room are of a model engine.
	Model    bool
	Pace     Pace
	Capacity Capacity
	Store    *Store
	// InitialModels is what its first life holds; later lives start empty.
	InitialModels []protocol.Holding

	// Slots, Waiting, Work, SlowFull and AnswerBytes are of a plain engine. When nearly full its work takes
	// SlowFull times as long.
	Slots, Waiting int
	Work           time.Duration
	SlowFull       float64
	AnswerBytes    int

	// WarmUp is how long it is slow from its start.
	WarmUp    time.Duration
	ReportLag time.Duration

	// HeartbeatPeriod, Controls and DrainBound are for its registration; no controls, no registration.
	HeartbeatPeriod time.Duration
	Controls        func() []string
	DrainBound      time.Duration
	// DrainPatience is how long it serves on if nobody acknowledges that it leaves.
	DrainPatience time.Duration
	// LateEach has one beat of that number come LateBy late, and to any daemon; zero has none.
	LateEach uint64
	LateBy   time.Duration
	Seed     uint64
}
