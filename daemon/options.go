package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/process/consensus/replica"
)

// Option changes a daemon before it runs.
type Option func(*Daemon)

// Handler serves some of the requests of a listener, and returns false for those that it leaves to the next handler.
type Handler interface {
	Handle(ctx *fasthttp.RequestCtx) bool
}

// WithStreamLimits replaces how long the next chunk is waited for, and how long a stream may outlast its deadline.
func WithStreamLimits(stall, over time.Duration) Option {
	return func(d *Daemon) { d.stallLimit, d.overrunLimit = stall, over }
}

// WithClock replaces the machine's clocks.
func WithClock(c clock.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithDisk wraps the data folder that the member writes to.
func WithDisk(around func(replica.Disk) replica.Disk) Option {
	return func(d *Daemon) { d.wrapDisk = around }
}

// WithSectionUpgrade has configurations that an earlier build stored completed where they are put in force and where a patch
// builds on them.
func WithSectionUpgrade(upgrade upstream.Upgrade) Option {
	return func(d *Daemon) { d.sectionUpgrade = upgrade }
}

// WithControl puts a handler before the admin API, for operators and engines.
func WithControl(make func(*Daemon) Handler) Option {
	return func(d *Daemon) { d.controlMakers = append(d.controlMakers, make) }
}

// WithReadiness puts a handler before the readiness page.
func WithReadiness(make func(*Daemon) Handler) Option {
	return func(d *Daemon) { d.readinessMakers = append(d.readinessMakers, make) }
}
