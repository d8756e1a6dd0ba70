// Package outlier is passive outlier detection: it finds engines that serve worse than others of their pool by the
// outcomes of the attempts sent to them, and gives each a weight.
//
// A [Ledger] counts what one daemon saw and hands it out as digests. A [Detector] gathers the digests of all daemons
// and keeps, for each engine and each zone of daemons, Page's cumulative sum (E. S. Page, Continuous Inspection
// Schemes, Biometrika 41, 1954): each attempt adds the logarithm of how much likelier its outcome is at a failing engine
// than at one like the better ones of the pool, and the sum never falls below zero. Above a threshold the engine is
// ejected, comes back by a trial and a ramp, and is ejected for longer each time that it fails again. A bounded share of
// a pool may be ejected at once. Both types are pure and belong to one goroutine.
package outlier
