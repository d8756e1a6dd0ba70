package engine

import (
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Config configures an engine; it is the same for all its incarnations.
type Config struct {
	// Name is the machine's; an incarnation's id is the name and a number.
	Name, Service, Zone, Address string
	Software                     string
	HealthPath                   string
	MaxConns                     int
	// IdleClose ends idle connections; with AdvertiseIdle it is announced as Keep-Alive.
	IdleClose     time.Duration
	AdvertiseIdle bool
	// CloseEach puts Connection: close into one answer of that many; zero never does.
	CloseEach int
	// ContinueOnClose goes on with a request whose caller has closed the connection.
	ContinueOnClose bool
	// Chunked answers plain requests in chunks instead of by length.
	Chunked bool

	// Pace, Capacity and Store are for model engines.
	Model    bool
	Pace     Pace
	Capacity Capacity
	Store    *Store
	// InitialModels are loaded in the first incarnation; later ones start empty.
	InitialModels []protocol.Holding

	// Slots, Waiting, Work, SlowFull and AnswerBytes are for plain engines. When nearly full a request takes
	// SlowFull times as long.
	Slots, Waiting int
	Work           time.Duration
	SlowFull       float64
	AnswerBytes    int

	// WarmUp is how long after its start everything takes twice as long.
	WarmUp    time.Duration
	ReportLag time.Duration

	// HeartbeatPeriod, Controls and DrainBound are for its registration; without Controls it does not register.
	HeartbeatPeriod time.Duration
	Controls        func() []string
	DrainBound      time.Duration
	// DrainPatience is how long it serves while nobody acknowledges that it drains.
	DrainPatience time.Duration
	// LateEach delays one heartbeat in that many by LateBy; zero delays none.
	LateEach uint64
	LateBy   time.Duration
	Seed     uint64
}
