package outlier

import (
	"time"
)

// Settings are the detector's parameters.
type Settings struct {
	// FailingRate is the rate of failed attempts at an engine that must be ejected, NoiseRate what is usual at any.
	FailingRate, NoiseRate float64
	// AlarmThreshold is the logarithm of how much likelier it must be that an engine is failing than that it is like the
	// others.
	AlarmThreshold float64
	// LateAlarmThreshold is the same for being late while saturated, which load causes as well.
	LateAlarmThreshold float64
	// MaxEjectedFraction is the fraction of a pool that may be ejected, or on trial, at once. One engine of two or more always
	// may.
	MaxEjectedFraction float64
	// An engine is ejected for BaseEjectionTime first. The time doubles with each relapse up to MaxEjectionTime, and halves
	// after it was healthy for BackoffDecayPeriod.
	BaseEjectionTime, MaxEjectionTime, BackoffDecayPeriod time.Duration
	// TrialWeight is the fraction of its usual requests that an engine on trial gets, TrialPasses how many must succeed.
	TrialWeight float64
	TrialPasses int
	// MaxTrialTime ends a trial that gets few requests and no failure.
	MaxTrialTime time.Duration
	// SlowStartStep is how long each doubling of the weight takes after a trial.
	SlowStartStep time.Duration
	// HalfLife is the time after which an outcome counts half in what is usual in the pool.
	HalfLife time.Duration
}

// DefaultSettings eject after three failures among six attempts or four among fourteen, where others fail none.
func DefaultSettings() Settings {
	return Settings{FailingRate: 0.3, NoiseRate: 0.02, AlarmThreshold: 7, LateAlarmThreshold: 14, MaxEjectedFraction: 0.3, BaseEjectionTime: 2 * time.Second, MaxEjectionTime: 16 * time.Second, BackoffDecayPeriod: 20 * time.Second,
		TrialWeight: 0.25, TrialPasses: 3, MaxTrialTime: 5 * time.Second, SlowStartStep: time.Second, HalfLife: 5 * time.Second}
}
