package outlier

import (
	"time"
)

// Settings are what the detector goes by.
type Settings struct {
	// Sick is the share of attempts that go wrong at an engine worth ejecting, Noise what may go wrong at any.
	FailingRate, NoiseRate float64
	// Alarm is how much likelier it must be, as a logarithm, that an engine is failing than that it is like the others.
	AlarmThreshold float64
	// LateAlarm is the same of being late with much to do, which load brings about as well.
	LateAlarmThreshold float64
	// MostEjected is the share of a pool that may be ejected, or on trial, at once. One engine of two or more may be.
	MaxEjectedFraction float64
	// RestFirst and RestMost bound how long an ejected engine gets nothing that another can take; it doubles with
	// each relapse, and halves with each Forgiven spent healthy.
	BaseEjectionTime, MaxEjectionTime, BackoffDecayPeriod time.Duration
	// TrialWeight is the share of its usual requests that one on trial gets, TrialPasses how many must go well.
	TrialWeight float64
	TrialPasses int
	// TrialMost is how long a trial takes at most, where hardly anything comes and nothing goes wrong.
	MaxTrialTime time.Duration
	// RampStep is how long each doubling of the weight takes after a trial.
	SlowStartStep time.Duration
	// Half is the time after which an outcome counts half towards what is usual in the pool.
	HalfLife time.Duration
}

// DefaultSettings eject after three failures among six attempts or four among fourteen, where others fail none.
func DefaultSettings() Settings {
	return Settings{FailingRate: 0.3, NoiseRate: 0.02, AlarmThreshold: 7, LateAlarmThreshold: 14, MaxEjectedFraction: 0.3, BaseEjectionTime: 2 * time.Second, MaxEjectionTime: 16 * time.Second, BackoffDecayPeriod: 20 * time.Second,
		TrialWeight: 0.25, TrialPasses: 3, MaxTrialTime: 5 * time.Second, SlowStartStep: time.Second, HalfLife: 5 * time.Second}
}
