package nodehealth

import (
	"fmt"
	"time"
)

// Mode is what the ranking is used for.
type Mode string

const (
	// Off measures nothing.
	Off Mode = "off"
	// ObserveOnly ranks engines and drains none.
	ObserveOnly Mode = "watch"
	// Drain ranks engines and drains the worst.
	Drain Mode = "drain"
)

// Settings say when an engine counts as unhealthy, and how many may be drained for it. Their names are those of the settings
// and of the wire.
type Settings struct {
	Mode Mode `json:"mode"`
	// DrainAt is how many times slower than comparable work elsewhere an engine is drained; below ClearAt it counts as healthy
	// again.
	DrainAt float64 `json:"drainAt"`
	ClearAt float64 `json:"clearAt"`
	// ConfirmMs is how long it must have been that slow, SpanMs the time over which it is measured.
	ConfirmMs int64 `json:"confirmMs"`
	SpanMs    int64 `json:"spanMs"`
	// RestMs is how long an engine stays drained before its trial, doubled each time up to RestMostMs; TrialMs is how long it
	// must then be healthy.
	RestMs     int64 `json:"restMs"`
	RestMostMs int64 `json:"restMostMs"`
	TrialMs    int64 `json:"trialMs"`
	// StallFloor is the pause, as a fraction of the path's gap target, below which nothing counts as slow; DelayFloorMs the
	// same for first bytes and connections, in milliseconds.
	StallFloor   float64 `json:"stallFloor"`
	DelayFloorMs int64   `json:"delayFloorMs"`
	// MostOfPool, MostOfZone and MostOfHolders are the fractions of a pool, of a zone's engines in it, and of the replicas of
	// a model that may be closed at once, whatever closed them.
	MostOfPool    float64 `json:"mostOfPool"`
	MostOfZone    float64 `json:"mostOfZone"`
	MostOfHolders float64 `json:"mostOfHolders"`
}

// DefaultSettings rank nothing and drain nothing.
func DefaultSettings() Settings {
	return Settings{Mode: Off, DrainAt: 3, ClearAt: 1.6, ConfirmMs: 3000, SpanMs: 8000, RestMs: 15000, RestMostMs: 240000, TrialMs: 8000,
		StallFloor: 1, DelayFloorMs: 400, MostOfPool: 0.25, MostOfZone: 0.5, MostOfHolders: 0.5}
}

// Fault is one invalid setting.
type Fault struct{ Field, Reason string }

// Check returns every fault.
func (s Settings) Check() []Fault {
	var faults []Fault
	addFault := func(wrong bool, field, reason string, values ...any) {
		if wrong {
			faults = append(faults, Fault{field, fmt.Sprintf(reason, values...)})
		}
	}
	addFault(s.Mode != Off && s.Mode != ObserveOnly && s.Mode != Drain, "mode", "must be off, watch or drain")
	addFault(!(s.DrainAt >= 1.5 && s.DrainAt <= 1000), "drainAt", "must be 1.5 to 1000: engines with like work differ by less than that when all are sound")
	addFault(!(s.ClearAt >= 1 && s.ClearAt < s.DrainAt), "clearAt", "must be at least 1 and below drainAt, or an engine would go and come by turns")
	addFault(s.SpanMs < 2000 || s.SpanMs > 600_000, "spanMs", "must be 2000 to 600000")
	addFault(s.ConfirmMs < 500 || s.ConfirmMs > 600_000, "confirmMs", "must be 500 to 600000")
	addFault(s.RestMs < 1000 || s.RestMs > 3_600_000, "restMs", "must be 1000 to 3600000")
	addFault(s.RestMostMs < s.RestMs, "restMostMs", "must be at least restMs (%d)", s.RestMs)
	addFault(s.TrialMs < 500 || s.TrialMs > 600_000, "trialMs", "must be 500 to 600000")
	addFault(!(s.StallFloor >= 0 && s.StallFloor <= 100), "stallFloor", "must be 0 to 100")
	addFault(s.DelayFloorMs < 1 || s.DelayFloorMs > maxValue, "delayFloorMs", "must be 1 to %d", maxValue)
	for _, share := range []struct {
		field string
		value float64
	}{{"mostOfPool", s.MostOfPool}, {"mostOfZone", s.MostOfZone}, {"mostOfHolders", s.MostOfHolders}} {
		addFault(!(share.value >= 0 && share.value <= 0.5), share.field, "must be 0 to 0.5: more than half can't be the exception")
	}
	return faults
}

func milliseconds(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
