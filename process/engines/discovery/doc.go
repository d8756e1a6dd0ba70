// Package discovery finds the engines that the platform lists and that are polled for reports, and keeps the condition of
// each. Engines that register themselves are kept by package registry instead.
//
// Every 200 ms the [Watcher] asks the platform for its list and each listed engine for a report. What comes back, and
// what others report to it (a failed attempt, an invalid answer, a peer's news that an engine drains), are events. One
// goroutine handles them, one after the other; each makes a new [View], which readers take from an atomic pointer.
//
// The condition of an engine changes in [Engine.setCondition] only:
//
//	awaiting report -> healthy      with the first report
//	healthy -> suspect              after 2 failed reports in a row
//	suspect -> healthy              after 2 good reports in a row
//	any -> quarantined              after an invalid report, 3 failed attempts in a row, or on request
//	quarantined -> healthy          with the first good report after 3 s
//
// An engine that becomes healthy is in slow start: its capacity grows from one attempt to all in 4 s. An engine that is
// missing from the list is removed after 30 s, unless it still reports.
//
// Package daemon runs the watcher; admission and sessionplacement read its views.
package discovery
