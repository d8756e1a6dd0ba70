package noderanking

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
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/placement/poolplacement"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/process/workerid/snowflake"
)

// Host is the daemon as the ranking sees it. Its methods are called from any goroutine.
type Host interface {
	// PlannerLease returns the fencing token of the planner's lease, and whether this daemon holds it.
	PlannerLease() (token ident.FencingToken, leased bool)
	// RegisteredEngines returns the engines that register themselves.
	RegisteredEngines() *registry.View
	// RoutingTable returns the table in force; nil is none.
	RoutingTable() *routingtable.Table
	// FleetDemand returns the recent demand of all daemons.
	FleetDemand(now clock.Mark) []poolplacement.Demand
	// NextID returns an id, under the lease of the worker id.
	NextID() (ident.SnowflakeID, snowflake.Outcome)
	// SubmitOnce submits a command to the leader of the control group; false means that its outcome is unknown.
	SubmitOnce(ctx context.Context, command statemachine.Command) (rollout.Response, bool)
}

// Config is fixed for the life of a ranking.
type Config struct {
	// Settings are the deployment's. Without a mode ranking is off.
	Settings nodehealth.Settings
	Clock    clock.Clock
	Log      log.Interface
	// NodeID and Zone are the daemon's.
	NodeID ident.NodeID
	Zone   ident.ZoneID
	// Measures says that this daemon forwards requests, and so measures engines; Plans says that it may become planner.
	Measures, Plans bool
}

// Ranking is one daemon's part in ranking engines. The fields below mailbox belong to the goroutine that runs it, but
// for published and actions.
type Ranking struct {
	config Config
	host   Host
	// recorder is nil unless requests are forwarded and ranking is on.
	recorder *nodehealth.Recorder
	// sentMutex guards sentAt, when digests were last sent.
	sentMutex   sync.Mutex
	sentAt      clock.Mark
	digestsSent atomic.Uint64

	mailbox *actor.Mailbox[any]
	// guard keeps a panic of the ranker from ending the process.
	guard *actor.Guard
	// ranker is set while the planner's lease is held; token is the fencing token that it was made for.
	ranker *nodehealth.Ranker
	token  ident.FencingToken
	// actionPending says that an action was submitted and not answered yet; stepNext is when the next step is due.
	actionPending bool
	stepNext      clock.Mark
	// vanished is since when an engine that the ranking drains is not registered.
	vanished map[ident.EngineID]clock.Mark
	// refusals is why slow engines were not drained at the last step.
	refusals map[ident.EngineID]nodehealth.Refusal
	// recentDemand is when each model was last demanded: only a demanded model must not lose its last engine.
	recentDemand map[demandKey]clock.Mark
	published    atomic.Pointer[publishedState]
	actions      actionCounts
}

type demandKey struct {
	pool   string
	target nodehealth.Target
}

// publishedState is what other goroutines see of the ranker. It is replaced, never changed.
type publishedState struct {
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
	// mailboxCapacity bounds the messages that wait for the ranker.
	mailboxCapacity = 1024
	// rankEvery is how often engines are ranked, provided that a step takes less than a tenth of that.
	rankEvery = time.Second
	// demandRetained is for how long a model counts as demanded.
	demandRetained = 30 * time.Second
	// vanishedFor is after what time the closure of an engine that is gone is removed.
	vanishedFor = 30 * time.Second
	// actionLimit bounds how long the outcome of an action is waited for.
	actionLimit = 5 * time.Second
	// operatorName is the operator's name on the closures of the ranking.
	operatorName = "ranking"
)

// New returns a ranking, which does not run yet.
func New(config Config, host Host) *Ranking {
	r := &Ranking{
		config:       config,
		host:         host,
		mailbox:      actor.NewMailbox[any](mailboxCapacity),
		vanished:     map[ident.EngineID]clock.Mark{},
		refusals:     map[ident.EngineID]nodehealth.Refusal{},
		recentDemand: map[demandKey]clock.Mark{},
	}
	r.guard = actor.NewGuard(config.Clock, r.abandon)
	if r.enabled() && config.Measures {
		r.recorder = nodehealth.NewRecorder()
	}
	r.published.Store(&publishedState{})
	return r
}

// Recorder returns what takes the measurements; nil unless this daemon measures and ranking is on.
func (r *Ranking) Recorder() *nodehealth.Recorder { return r.recorder }

func (r *Ranking) enabled() bool {
	return r.config.Settings.Mode == nodehealth.ObserveOnly || r.config.Settings.Mode == nodehealth.Drain
}

// Start starts the ranker's goroutine, which ends with the daemon. It runs where ranking is off too, to reopen what
// was drained before that.
func (r *Ranking) Start(run func(func(context.Context))) {
	if r.config.Plans {
		take := func(event any) { r.guard.Run(func() { r.take(event) }) }
		run(func(ctx context.Context) {
			r.mailbox.Run(ctx, rankEvery/4, take, func() { r.guard.Run(func() { r.step(ctx) }) })
		})
	}
}

// abandon drops the ranker after a panic, since its state may be inconsistent.
func (r *Ranking) abandon(cause any, stack []byte) {
	r.config.Log.WithFields(log.Fields{"cause": fmt.Sprint(cause), "stack": string(stack)}).Error("node ranking panicked and begins anew")
	r.ranker, r.token = nil, 0
	r.published.Store(&publishedState{})
}

func (r *Ranking) take(event any) {
	switch e := event.(type) {
	case receivedDigests:
		if r.ranker != nil {
			r.ranker.AddDigests(r.config.Clock.Elapsed(), e.zone, e.digests)
		}
	case pageQuery:
		r.answerQuery(e)
	case actionResult:
		r.actionPending = false
		r.logActionResult(e)
	}
}

// step ranks, while this daemon holds the planner's lease.
func (r *Ranking) step(ctx context.Context) {
	token, leased := r.host.PlannerLease()
	if !leased || r.guard.InBackoff() {
		// The next planner begins anew with what the fleet shows. A lease that lapsed and is resumed keeps the same
		// ranker.
		r.published.Store(&publishedState{})
		return
	}
	now := r.config.Clock.Elapsed()
	if r.ranker == nil || r.token != token {
		r.ranker, r.token = nodehealth.NewRanker(r.config.Settings), token
	}
	if now < r.stepNext {
		return
	}
	table := r.host.RoutingTable()
	if table == nil || !r.enabled() && !anyDrainedByRanking(table.Closures) {
		return
	}
	if r.recorder != nil {
		r.ranker.AddDigests(now, r.config.Zone, r.recorder.TakeDigests())
	}
	view := r.host.RegisteredEngines()
	fleet := r.fleet(now, view, table.Closures, table.OpenRegistered)
	decision := r.ranker.Step(now, fleet)
	took := r.config.Clock.Elapsed().Since(now)
	// A large fleet is ranked less often: ranking takes a tenth of this daemon's time at most.
	r.stepNext = now + clock.Mark(max(rankEvery, 10*took))
	for _, change := range decision.Changes {
		r.config.Log.WithFields(log.Fields{
			"engine": string(change.Engine),
			"from":   change.From.String(),
			"to":     change.To.String(),
			"score":  round(change.Assessment.Score),
			"kind":   change.Assessment.Kind.String(),
		}).Info("node ranking: stage changed")
	}
	r.logRefusals()
	state := &publishedState{
		rows:     r.ranker.Rows(),
		counters: r.ranker.Counters,
		took:     took,
		emptying: map[ident.EngineID]bool{},
	}
	for _, id := range r.ranker.AwaitingRelocation() {
		state.emptying[id] = true
	}
	r.published.Store(state)
	actions := append(decision.Actions, r.reopenVanished(now, view, table.Closures)...)
	if len(actions) > 0 && !r.actionPending {
		r.submitAction(ctx, actions[0])
	}
}

// logRefusals logs why slow engines are not drained, where that has changed.
func (r *Ranking) logRefusals() {
	for _, row := range r.ranker.Rows() {
		if row.Refusal == r.refusals[row.Engine] {
			continue
		}
		if r.refusals[row.Engine] = row.Refusal; row.Refusal == nodehealth.Allowed {
			delete(r.refusals, row.Engine)
			continue
		}
		r.config.Log.WithFields(log.Fields{
			"engine": string(row.Engine),
			"score":  round(row.Score),
			"reason": row.Refusal.Reason(),
		}).Info("node ranking: engine not drained")
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
func (r *Ranking) reopenVanished(now clock.Mark, view *registry.View, closures closure.Set) []nodehealth.Action {
	var out []nodehealth.Action
	for id := range r.vanished {
		if _, closed := closures.Engines[id]; !closed {
			delete(r.vanished, id)
		}
	}
	for id, closure := range closures.Engines {
		if engine := view.Engines[id]; closure.Ranking == nil || engine != nil && !engine.Deregistered {
			delete(r.vanished, id)
			continue
		}
		if r.vanished[id] == 0 {
			r.vanished[id] = now
		}
		if now.Since(r.vanished[id]) >= vanishedFor {
			out = append(out, nodehealth.Action{Engine: id})
		}
	}
	slices.SortFunc(out, func(a, b nodehealth.Action) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

// submitAction has the group drain or reopen an engine, stamped and fenced by the lease that was ranked under. Its
// goroutine ends with the answer or after actionLimit.
func (r *Ranking) submitAction(ctx context.Context, action nodehealth.Action) {
	stamp, outcome := r.host.NextID()
	if outcome != snowflake.Generated {
		// Nothing is decided without the lease of a worker id.
		r.actions.unleased.Add(1)
		return
	}
	command := statemachine.Command{
		Op:       statemachine.OpClosure,
		NodeID:   r.config.NodeID,
		Operator: operatorName,
		Engine:   action.Engine,
		Closed:   action.Drain,
		Ranking:  &closure.RankingDecision{Token: r.token, ID: stamp, Reason: reasonOf(action)},
	}
	r.actionPending = true
	go func() {
		bounded, cancel := context.WithTimeout(ctx, actionLimit)
		defer cancel()
		answer, known := r.host.SubmitOnce(bounded, command)
		r.mailbox.Send(actionResult{action, answer.Outcome, answer.Reason, known})
	}()
}

func (r *Ranking) logActionResult(result actionResult) {
	logged := r.config.Log.WithFields(log.Fields{
		"engine": string(result.action.Engine),
		"drain":  result.action.Drain,
		"score":  round(result.action.Assessment.Score),
	})
	switch {
	case !result.known:
		r.actions.unknown.Add(1)
		logged.Warn("node ranking: no answer from the control group")
	case result.outcome != statemachine.Done:
		r.actions.refused.Add(1)
		logged.WithField("reason", result.reason).Warn("node ranking: action rejected by the control group")
	default:
		r.actions.done.Add(1)
		logged.WithFields(log.Fields{
			"kind":      result.action.Assessment.Kind.String(),
			"value":     result.action.Assessment.Value,
			"peerValue": result.action.Assessment.PeerValue,
		}).Info("node ranking: action committed")
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
func (r *Ranking) fleet(now clock.Mark, view *registry.View, closures closure.Set, open func(ident.EngineID, ident.ZoneID) bool) nodehealth.Fleet {
	for _, demand := range r.host.FleetDemand(now) {
		r.recentDemand[demandKey{demand.Pool, nodehealth.Target{Model: demand.Model}}] = now
		if demand.Adapter != "" {
			r.recentDemand[demandKey{demand.Pool, nodehealth.Target{
				Model:   demand.Model,
				Adapter: demand.Adapter,
			}}] = now
		}
	}
	for key, at := range r.recentDemand {
		if now.Since(at) > demandRetained {
			delete(r.recentDemand, key)
		}
	}
	out := nodehealth.Fleet{}
	for id, engine := range view.Engines {
		if engine.Deregistered {
			continue
		}
		candidate := nodehealth.Engine{
			ID:   id,
			Pool: engine.Pool,
			Zone: engine.Zone,
			Open: engine.Usable() && open(id, engine.Zone),
		}
		closure, closed := closures.Engines[id]
		candidate.DrainedByRanking = closed && closure.Ranking != nil
		_, candidate.KeptOpen = closures.Protected[id]
		for _, loaded := range engine.Models() {
			for _, target := range append([]nodehealth.Target{{Model: loaded.Model}}, adaptersOf(loaded)...) {
				if _, demanded := r.recentDemand[demandKey{engine.Pool, target}]; demanded && engine.Holds(target.Model, target.Adapter) {
					candidate.Loaded = append(candidate.Loaded, target)
				}
			}
		}
		out[id] = candidate
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

// Emptying returns the engines whose models are to be loaded elsewhere before they are drained.
func (r *Ranking) Emptying() map[ident.EngineID]bool { return r.published.Load().emptying }

// mode is what ranking is used for here; without settings it is off.
func (r *Ranking) mode() nodehealth.Mode {
	if r.config.Settings.Mode == "" {
		return nodehealth.Off
	}
	return r.config.Settings.Mode
}

// limits are the limits that operators' drains must keep to.
func (r *Ranking) limits() nodehealth.Settings {
	if r.config.Settings == (nodehealth.Settings{}) {
		return nodehealth.DefaultSettings()
	}
	return r.config.Settings
}
