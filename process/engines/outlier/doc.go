// Package outlier is passive outlier detection: it finds engines that serve worse than others of their pool by the
// outcomes of the attempts sent to them, and gives each a weight.
//
// A [Recorder] counts what one daemon saw and hands it out as digests. A [Detector] gathers the digests of all daemons
// and keeps, for each engine and each zone of daemons, Page's cumulative sum (E. S. Page, Continuous Inspection
// Schemes, Biometrika 41, 1954): each attempt adds the logarithm of how much likelier its outcome is at a failing engine
// than at one like the better ones of the pool, and the sum never falls below zero. Above a threshold the engine is
// ejected, comes back by a trial and slow start, and is ejected for longer each time that it fails again. A bounded fraction
// of a pool may be ejected at once. An engine that is saturated by its own report and late, no more than that, is throttled
// instead: its fraction of requests is halved with each alarm.
//
// The detector holds:
//
//   - A stage changes in one function and only by the transitions listed in stage.go.
//   - No more than MaxEjectedFraction of a pool, and never all of it, is ejected, on trial or throttled at once.
//   - What is usual in a pool is measured at its better engines, so that faults that all share eject none.
//   - Observations of a daemon to which most engines seem to fail are dropped: the fault is its own.
//
// Both types are pure and belong to one goroutine each: the recorder to the forwarding core, the detector to the pool
// planner, which publishes the weights with its plans. A weight of zero is no ban: an ejected engine gets what no other
// engine can take.
package outlier
