package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/consensus/replica"
)

// Option sets one thing of a daemon.
type Option func(*Daemon)

// Handler serves some of the requests of a listener; it says false of one that it leaves to the next.
type Handler interface {
	Handle(ctx *fasthttp.RequestCtx) bool
}

// WithStreamLimits replaces how long the next piece is waited for, and how long a stream may outlast its deadline.
func WithStreamLimits(stall, over time.Duration) Option {
	return func(d *Daemon) { d.stallLimit, d.overrunLimit = stall, over }
}

// WithClock replaces the machine's clocks.
func WithClock(c clock.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithDisk puts something between the member and its data folder.
func WithDisk(around func(replica.Disk) replica.Disk) Option {
	return func(d *Daemon) { d.wrapDisk = around }
}

// WithControl puts a handler before the desk, for operators and engines.
func WithControl(make func(*Daemon) Handler) Option {
	return func(d *Daemon) { d.controlMakers = append(d.controlMakers, make) }
}

// WithReadiness puts a handler before the page that says whether this daemon is ready.
func WithReadiness(make func(*Daemon) Handler) Option {
	return func(d *Daemon) { d.readinessMakers = append(d.readinessMakers, make) }
}
