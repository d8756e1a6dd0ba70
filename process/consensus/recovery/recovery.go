// Package recovery makes the next generation of a group whose majority was lost for good. It takes the
// highest epochs that any living daemon or the folder itself holds, and rounds up all that guards ids
// and claims, so that nothing of the lost generation can meet anything of the next.
package recovery

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/configuration/closure"
	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/process/workerid"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// DaemonReport is what one living daemon told.
type DaemonReport struct {
	Address              string
	Group                ident.GroupID
	LeaderContactMsAgo   int64
	ConfigurationVersion ident.Version
	Bundles              map[ident.Version][]byte
	Closures             *closure.Set
	LeaseUntil           ident.GroupTime
	PlannerToken         ident.FencingToken
}

// aliveWithin is how lately a leader must have been heard for the group to count as alive.
const leaderAliveTimeout = 10 * time.Second

const (
	// timeMargin is added to the latest time anyone knows of.
	timeMargin = time.Minute
	// tokenMargin is added to the highest claim anyone knows of.
	tokenMargin = 1000
)

// QueryDaemon hears one daemon.
func QueryDaemon(ctx context.Context, address string) (DaemonReport, error) {
	client := peerapi.NewFellowProtobufClient("http://"+address, http.DefaultClient)
	identity, err := client.Identify(ctx, &peerapi.Empty{})
	if err != nil {
		return DaemonReport{}, eris.Wrapf(err, "%s cannot be asked", address)
	}
	w := DaemonReport{Address: address, Group: ident.GroupID(identity.Group), LeaderContactMsAgo: identity.LeaderMsAgo, ConfigurationVersion: ident.Version(identity.ConfigurationVersion),
		LeaseUntil: ident.GroupTime(identity.LeaseUntilMs), PlannerToken: ident.FencingToken(identity.Claim), Bundles: map[ident.Version][]byte{}}
	for version := ident.Version(1); version <= w.ConfigurationVersion; version++ {
		recalled, err := client.Recall(ctx, &peerapi.RecallRequest{Version: uint64(version)})
		if err != nil {
			return DaemonReport{}, eris.Wrapf(err, "%s cannot be asked for epoch %d", address, version)
		}
		if len(recalled.Configuration) > 0 {
			w.Bundles[version] = recalled.Configuration
		}
		w.Closures = rollout.DecodeClosures(recalled.Closures)
	}
	return w, nil
}

// Plan is the state the next generation begins with.
type Plan struct {
	Group ident.GroupID
	State *statemachine.State
	// LostVersions lists epochs that were in force once, and whose bundle nobody holds any more.
	LostVersions []ident.Version
}

// NewPlan weighs the folder's own state against the witnesses. It refuses while the group may be alive.
func NewPlan(group ident.GroupID, state *statemachine.State, witnesses []DaemonReport, wall time.Time) (Plan, error) {
	if len(witnesses) == 0 {
		return Plan{}, eris.New("no living daemon was named: name all that live, since one may hold what the others lack")
	}
	now := max(state.Now, ident.GroupTime(wall.UnixMilli()))
	claim := state.PlannerLease.Token
	for _, w := range witnesses {
		if w.LeaderContactMsAgo >= 0 && time.Duration(w.LeaderContactMsAgo)*time.Millisecond < leaderAliveTimeout {
			return Plan{}, eris.Errorf("%s heard a leader %d ms ago: the group is alive, and must not be recovered", w.Address, w.LeaderContactMsAgo)
		}
		if w.Group == "" {
			continue
		}
		switch {
		case group == "" || w.Group.Succeeds(group):
			group = w.Group
		case w.Group != group && !group.Succeeds(w.Group):
			return Plan{}, eris.Errorf("%s belongs to group %s, and not to %s", w.Address, w.Group, group)
		}
		now = max(now, w.LeaseUntil)
		claim = max(claim, w.PlannerToken)
		for version, bundle := range w.Bundles {
			if _, faults := document.Parse(bundle); len(faults) > 0 {
				return Plan{}, eris.Errorf("%s holds a faulty bundle as epoch %d: %v", w.Address, version, faults)
			}
		}
	}
	if group == "" {
		return Plan{}, eris.New("neither the folder nor any daemon remembers a group")
	}
	plan := Plan{Group: group.Next(), State: state}
	state.Now = now.Add(timeMargin)
	plan.recoverConfigurations(witnesses)
	for _, w := range witnesses {
		if w.Closures != nil && w.Closures.Version > state.Closures.Version {
			state.Closures = w.Closures.Clone()
		}
	}
	// All tenures of the lost generation are void, and no id of theirs can be minted again.
	state.Workers = workerid.New()
	for worker := ident.WorkerID(0); worker <= workerid.MaxWorkerID; worker++ {
		state.Workers.Floors[worker] = state.Now - 1
	}
	// The claim's end is now, so that a planner of the lost generation has lapsed before the next may begin.
	state.PlannerLease = statemachine.PlannerLease{Token: claim + tokenMargin, Expiry: state.Now}
	return plan, nil
}

// recoverConfigurations fills the history up to the highest epoch anyone holds.
func (p *Plan) recoverConfigurations(witnesses []DaemonReport) {
	var highest ident.Version
	for _, w := range witnesses {
		highest = max(highest, w.ConfigurationVersion)
	}
	for version := p.State.Version() + 1; version <= highest; version++ {
		id := fmt.Sprintf("recovered-epoch-%d", version)
		proposal := &statemachine.Proposal{ID: id, Base: version - 1, Stage: statemachine.StageRolledOut, Version: version,
			Proposed:  statemachine.OperatorAction{Operator: "recovery", At: p.State.Now, Note: "taken from a living daemon"},
			RolledOut: &statemachine.OperatorAction{Operator: "recovery", At: p.State.Now}}
		for _, w := range witnesses {
			if bundle := w.Bundles[version]; len(bundle) > 0 {
				proposal.Configuration = bundle
				break
			}
		}
		if parsed, _ := document.Parse(proposal.Configuration); parsed != nil && parsed.Forward != nil {
			proposal.Revision = ident.Revision(parsed.Forward.Revision)
		}
		if proposal.Configuration == nil {
			p.LostVersions = append(p.LostVersions, version)
		}
		p.State.AppendRecovered(proposal)
	}
	for _, proposal := range p.State.Proposals {
		if proposal.Stage != statemachine.StageRolledOut && proposal.Base < p.State.Version() {
			proposal.Stage = statemachine.StageSuperseded
		}
	}
}

// ReadSurvivor reads a folder's state with its whole log applied: what a lone survivor holds may have been
// acknowledged, committed as far as it knew or not.
func ReadSurvivor(s *store.Store) (ident.GroupID, *statemachine.State, error) {
	group, err := s.Group()
	if err != nil {
		return "", nil, err
	}
	restored, err := s.Load()
	if err != nil {
		return "", nil, err
	}
	state, err := statemachine.Restore(restored.Snapshot.Data)
	if err != nil {
		return "", nil, eris.Wrap(err, "the snapshot cannot be read")
	}
	for _, entry := range restored.Entries {
		if entry.Index > restored.Snapshot.Index && entry.Kind == raft.EntryCommand {
			state.Apply(entry.Data)
		}
	}
	return group, state, nil
}

// WriteGroup puts the plan into an empty folder as a group of one; the other machines join it.
func WriteGroup(s *store.Store, plan Plan, name, address string) error {
	self := raft.Member{ID: s.MemberID, Name: name, Address: address, Voter: true}
	first := raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Members: []raft.Member{self}}, Data: plan.State.Snapshot()}
	return s.Write(plan.Group, raft.Save{HardState: raft.HardState{Term: 1}, Snapshot: &first})
}
