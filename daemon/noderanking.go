package daemon

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/actor"
	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// nodeRanking is a daemon's part in ranking engines by the health of their nodes: where it routes it measures and
// sends digests; where it is the planner it ranks and drains, under the fencing token of the planner's lease. The
// state below mailbox belongs to the goroutine that runs the mailbox.
type nodeRanking struct {
	*Daemon
	settings nodehealth.Settings
	// recorder is nil unless requests are forwarded and ranking is on.
	recorder *nodehealth.Recorder
	// sentMutex guards sentAt, when digests were last sent.
	sentMutex   sync.Mutex
	sentAt      clock.Mark
	digestsSent atomic.Uint64

	mailbox *actor.Mailbox[any]
	// ranker is set while the planner's lease is held; claim is the fencing token that it was made for.
	ranker *nodehealth.Ranker
	claim  ident.FencingToken
	// actionPending says that an action was submitted and not answered yet; stepNext is when the next step is due.
	actionPending bool
	stepNext      clock.Mark
	// vanished is since when an engine that the ranking drains is not registered.
	vanished map[ident.EngineID]clock.Mark
	// refusals is why slow engines were not drained at the last step.
	refusals map[ident.EngineID]nodehealth.Refusal
	// recentDemand is when each model was last demanded: only a demanded model must not lose its last engine.
	recentDemand  map[demandKey]clock.Mark
	state         atomic.Pointer[rankingState]
	decisionsMade actionCounts
}

type demandKey struct {
	pool   string
	target nodehealth.Target
}

// rankingState is what other goroutines see of the ranker. It is replaced, never changed.
type rankingState struct {
	claim    ident.FencingToken
	rows     []nodehealth.Row
	counters nodehealth.Counters
	emptying map[ident.EngineID]bool
	took     time.Duration
}

// actionCounts counts the outcomes of the actions that were decided.
type actionCounts struct{ done, refused, unknown, unleased atomic.Uint64 }

type (
	receivedDigests struct {
		zone    ident.ZoneID
		digests []nodehealth.Digest
	}
	actionResult struct {
		action  nodehealth.Action
		outcome statemachine.Outcome
		reason  string
		known   bool
	}
)

const (
	// rankEvery is how often engines are ranked, provided that a step takes less than a tenth of that.
	rankEvery = time.Second
	// demandRetained is for how long a model counts as demanded.
	demandRetained = 30 * time.Second
	// vanishedFor is after what time the closure of an engine that is gone is removed.
	vanishedFor = 30 * time.Second
	// actionLimit bounds how long the outcome of an action is waited for.
	actionLimit = 5 * time.Second
	// rankingOperator is the operator's name on the closures of the ranking.
	rankingOperator = "ranking"
)

func newNodeRanking(d *Daemon) *nodeRanking {
	n := &nodeRanking{Daemon: d, settings: d.config.Ranking, mailbox: actor.NewMailbox[any](1024), vanished: map[ident.EngineID]clock.Mark{}, refusals: map[ident.EngineID]nodehealth.Refusal{}, recentDemand: map[demandKey]clock.Mark{}}
	if n.on() && d.forwards() {
		n.recorder = nodehealth.NewRecorder()
	}
	n.state.Store(&rankingState{})
	return n
}

func (n *nodeRanking) on() bool {
	return n.settings.Mode == nodehealth.ObserveOnly || n.settings.Mode == nodehealth.Drain
}

// plans says whether this daemon may rank at all: it must plan pools.
func (n *nodeRanking) plans() bool {
	return n.poolPlanning != nil && n.config.Serves(daemonconfig.Placement)
}

// start starts the ranker's goroutine, which ends with the daemon. It runs where ranking is off too, to reopen what
// was drained before that.
func (n *nodeRanking) start(run func(func(context.Context))) {
	if n.plans() {
		run(func(ctx context.Context) { n.mailbox.Run(ctx, rankEvery/4, n.take, func() { n.step(ctx) }) })
	}
}

func (n *nodeRanking) take(event any) {
	switch e := event.(type) {
	case receivedDigests:
		if n.ranker != nil {
			n.ranker.AddDigests(n.clock.Elapsed(), e.zone, e.digests)
		}
	case rankingQuery:
		n.answerQuery(e)
	case actionResult:
		n.actionPending = false
		n.logActionResult(e)
	}
}

// step ranks, while this daemon holds the planner's lease.
func (n *nodeRanking) step(ctx context.Context) {
	condition := n.poolPlanning.condition()
	if !condition.Held {
		// The next planner begins anew with what the fleet shows. A lease that lapsed and is resumed keeps the same
		// ranker.
		n.state.Store(&rankingState{})
		return
	}
	now := n.clock.Elapsed()
	if n.ranker == nil || n.claim != condition.Claim {
		n.ranker, n.claim = nodehealth.NewRanker(n.settings), condition.Claim
	}
	if now < n.stepNext {
		return
	}
	table := n.rollout.Table()
	if table == nil || !n.on() && !anyDrainedByRanking(table.Closures) {
		return
	}
	if n.recorder != nil {
		n.ranker.AddDigests(now, n.config.Zone, n.recorder.TakeDigests())
	}
	view := n.registry.View()
	fleet := n.fleet(now, view, table.Closures, table.OpenRegistered)
	decision := n.ranker.Step(now, fleet)
	took := n.clock.Elapsed().Since(now)
	// A large fleet is ranked less often: ranking takes a tenth of this daemon's time at most.
	n.stepNext = now + clock.Mark(max(rankEvery, 10*took))
	for _, change := range decision.Changes {
		n.log.WithFields(log.Fields{"engine": string(change.Engine), "from": change.From.String(), "to": change.To.String(), "score": round(change.Assessment.Score),
			"kind": change.Assessment.Kind.String()}).Info("node ranking: stage changed")
	}
	n.logRefusals()
	state := &rankingState{claim: n.claim, rows: n.ranker.Rows(), counters: n.ranker.Counters, took: took, emptying: map[ident.EngineID]bool{}}
	for _, id := range n.ranker.AwaitingRelocation() {
		state.emptying[id] = true
	}
	n.state.Store(state)
	actions := append(decision.Actions, n.reopenVanished(now, view, table.Closures)...)
	if len(actions) > 0 && !n.actionPending {
		n.submitAction(ctx, actions[0])
	}
}

// logRefusals logs why slow engines are not drained, where that has changed.
func (n *nodeRanking) logRefusals() {
	for _, row := range n.ranker.Rows() {
		if row.Refusal == n.refusals[row.Engine] {
			continue
		}
		if n.refusals[row.Engine] = row.Refusal; row.Refusal == nodehealth.Allowed {
			delete(n.refusals, row.Engine)
			continue
		}
		n.log.WithFields(log.Fields{"engine": string(row.Engine), "score": round(row.Score), "reason": row.Refusal.Reason()}).Info("node ranking: engine not drained")
	}
}

func anyDrainedByRanking(closures closure.Set) bool {
	for _, closure := range closures.Engines {
		if closure.Ranking != nil {
			return true
		}
	}
	return false
}

// reopenVanished returns actions that remove the closures of drained engines that are gone, so that closures don't
// pile up.
func (n *nodeRanking) reopenVanished(now clock.Mark, view *registry.View, closures closure.Set) []nodehealth.Action {
	var out []nodehealth.Action
	for id := range n.vanished {
		if _, shut := closures.Engines[id]; !shut {
			delete(n.vanished, id)
		}
	}
	for id, closure := range closures.Engines {
		if engine := view.Engines[id]; closure.Ranking == nil || engine != nil && !engine.Deregistered {
			delete(n.vanished, id)
			continue
		}
		if n.vanished[id] == 0 {
			n.vanished[id] = now
		}
		if now.Since(n.vanished[id]) >= vanishedFor {
			out = append(out, nodehealth.Action{Engine: id})
		}
	}
	slices.SortFunc(out, func(a, b nodehealth.Action) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

// submitAction has the group drain or reopen an engine, stamped and fenced by the lease that was ranked under. Its
// goroutine ends with the answer or after actionLimit.
func (n *nodeRanking) submitAction(ctx context.Context, action nodehealth.Action) {
	stamp, outcome := n.generator.Next()
	if outcome != snowflake.Generated {
		// Nothing is decided without the lease of a worker id.
		n.decisionsMade.unleased.Add(1)
		return
	}
	command := statemachine.Command{Op: statemachine.OpClosure, NodeID: n.nodeID, Operator: rankingOperator, Engine: action.Engine, Closed: action.Drain,
		Ranking: &closure.RankingDecision{Token: n.claim, ID: stamp, Reason: reasonOf(action)}}
	n.actionPending = true
	go func() {
		bounded, cancel := context.WithTimeout(ctx, actionLimit)
		defer cancel()
		answer, known := n.submitOnce(bounded, command)
		n.mailbox.Send(actionResult{action, answer.Outcome, answer.Reason, known})
	}()
}

func (n *nodeRanking) logActionResult(result actionResult) {
	logged := n.log.WithFields(log.Fields{"engine": string(result.action.Engine), "drain": result.action.Drain, "score": round(result.action.Assessment.Score)})
	switch {
	case !result.known:
		n.decisionsMade.unknown.Add(1)
		logged.Warn("node ranking: no answer from the control group")
	case result.outcome != statemachine.Done:
		n.decisionsMade.refused.Add(1)
		logged.WithField("reason", result.reason).Warn("node ranking: action rejected by the control group")
	default:
		n.decisionsMade.done.Add(1)
		logged.WithFields(log.Fields{"kind": result.action.Assessment.Kind.String(), "value": result.action.Assessment.Value, "peerValue": result.action.Assessment.PeerValue}).Info("node ranking: action committed")
	}
}

func reasonOf(action nodehealth.Action) string {
	if !action.Drain {
		return ""
	}
	unit := "ms"
	if action.Assessment.Kind == nodehealth.Stall {
		unit = "thousandths of the longest pause aimed at"
	}
	return fmt.Sprintf("%s %.1f times that of others: %.0f against %.0f %s", action.Assessment.Kind, action.Assessment.Score, action.Assessment.Value, action.Assessment.PeerValue, unit)
}

func round(score float64) float64 { return float64(int(100*score)) / 100 }

// fleet returns what the ranker knows of the registered engines, and of demand only whether there is any.
func (n *nodeRanking) fleet(now clock.Mark, view *registry.View, closures closure.Set, open func(ident.EngineID, ident.ZoneID) bool) nodehealth.Fleet {
	for _, demand := range n.collectDemand(now, n.forwardDemands()) {
		n.recentDemand[demandKey{demand.Pool, nodehealth.Target{Model: demand.Model}}] = now
		if demand.Adapter != "" {
			n.recentDemand[demandKey{demand.Pool, nodehealth.Target{Model: demand.Model, Adapter: demand.Adapter}}] = now
		}
	}
	for key, at := range n.recentDemand {
		if now.Since(at) > demandRetained {
			delete(n.recentDemand, key)
		}
	}
	out := nodehealth.Fleet{}
	for id, engine := range view.Engines {
		if engine.Deregistered {
			continue
		}
		one := nodehealth.Engine{ID: id, Pool: engine.Pool, Zone: engine.Zone, Open: engine.Usable() && open(id, engine.Zone)}
		closure, shut := closures.Engines[id]
		one.DrainedByRanking = shut && closure.Ranking != nil
		_, one.KeptOpen = closures.Protected[id]
		for _, loaded := range engine.Models() {
			for _, target := range append([]nodehealth.Target{{Model: loaded.Model}}, adaptersOf(loaded)...) {
				if _, demanded := n.recentDemand[demandKey{engine.Pool, target}]; demanded && engine.Holds(target.Model, target.Adapter) {
					one.Loaded = append(one.Loaded, target)
				}
			}
		}
		out[id] = one
	}
	return out
}

func adaptersOf(loaded registry.LoadedModel) []nodehealth.Target {
	out := make([]nodehealth.Target, 0, len(loaded.Adapters))
	for _, adapter := range loaded.Adapters {
		out = append(out, nodehealth.Target{Model: loaded.Model, Adapter: adapter})
	}
	return out
}

func sortedIDs(fleet nodehealth.Fleet) []ident.EngineID { return slices.Sorted(maps.Keys(fleet)) }

// emptying returns the engines whose models are to be loaded elsewhere before they are drained.
func (n *nodeRanking) emptying() map[ident.EngineID]bool { return n.state.Load().emptying }

// mode is what ranking is used for here; without settings it is off.
func (n *nodeRanking) mode() nodehealth.Mode {
	if n.settings.Mode == "" {
		return nodehealth.Off
	}
	return n.settings.Mode
}

// limits are the limits that operators' drains must keep to.
func (n *nodeRanking) limits() nodehealth.Settings {
	if n.settings == (nodehealth.Settings{}) {
		return nodehealth.DefaultSettings()
	}
	return n.settings
}
