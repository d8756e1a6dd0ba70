// Package nodehealth orders engines by how their nodes behave: by the pauses between the events of their streams and by how
// late their first bytes come, each compared with engines of the same pool at comparable work. From that it decides which
// engine is drained, which may be tried again, and what must be loaded elsewhere first. Its input says nothing of routes,
// tenants or values, so the order can't depend on them. On pages, in settings and in counters it is called the ranking.
//
// A [Recorder] in each daemon measures and hands out digests. The [Ranker], in the daemon that plans, adds them up by engine,
// class of work and zone of the observing daemon, over a moving span. Each [Ranker.Step] then
//
//  1. takes over from the fleet which engines were closed and opened meanwhile;
//  2. assesses each engine: the value of each series is compared with the median of its peers at comparable work, in units
//     of the median absolute deviation; the scores of one engine are combined over kinds, models and zones;
//  3. moves each engine between stages: healthy, suspect, drained, trial;
//  4. chooses at most one engine to drain, the worst that may be, and one of each pool to open for a trial.
//
// The order of steps matters: what the fleet shows comes first, so that a new planner takes over its predecessor's drains,
// and the decisions come last, from the stages of this step.
//
// The ranker holds:
//
//   - A stage changes in one function and only by the listed transitions. A drain is confirmed by the fleet, not by its request.
//   - The limits for a pool, a zone and the replicas of a model count every closed engine, whatever closed it.
//   - An engine with the only replica of something is drained only once that is loaded elsewhere.
//   - An engine is slow only if more than half of the zones measure it so; otherwise it is a network path.
//
// [Ranker] is pure and belongs to one goroutine of package daemon; [Recorder] may be used by several.
package nodehealth
