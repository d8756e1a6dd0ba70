package recovery

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/workerid"
)

// The reasons for which NewPlan rejects a recovery.
var (
	// ErrNoReports says that no daemon was queried.
	ErrNoReports = eris.New("no living daemon was named: name all that live, since one may hold what the others lack")
	// ErrGroupAlive says that a daemon had contact to a leader within the last ten seconds.
	ErrGroupAlive = eris.New("the group is alive, and must not be recovered")
	// ErrOtherGroup says that a daemon belongs to a group that is neither the lost one nor a generation of it.
	ErrOtherGroup = eris.New("only daemons of one group can recover it")
	// ErrInvalidBundle says that a daemon holds a configuration that does not pass validation.
	ErrInvalidBundle = eris.New("the configuration is invalid")
	// ErrUnknownGroup says that nobody knows which group is to be recovered.
	ErrUnknownGroup = eris.New("neither the folder nor any daemon remembers a group")
)

const (
	// leaderAliveTimeout is how recent a daemon's contact to a leader must be for the group to count as alive.
	leaderAliveTimeout = 10 * time.Second
	// timeMargin is added to the latest group time that anyone knows of.
	timeMargin = time.Minute
	// tokenMargin is added to the highest fencing token that anyone knows of.
	tokenMargin = 1000
)

// Plan is the state that the next generation begins with.
type Plan struct {
	Group ident.GroupID
	State *statemachine.State
	// LostVersions lists versions that were in force once, and whose configuration nobody holds any more.
	LostVersions []ident.Version
}

// NewPlan combines a survivor's state, or an empty one, with the reports. group is the survivor's group, or empty. It
// changes the state in place.
func NewPlan(group ident.GroupID, state *statemachine.State, reports []DaemonReport, wall time.Time) (Plan, error) {
	if len(reports) == 0 {
		return Plan{}, ErrNoReports
	}
	now := max(state.Now, ident.GroupTime(wall.UnixMilli()))
	token := state.PlannerLease.Token
	for _, report := range reports {
		if err := report.checkLeaderLost(); err != nil {
			return Plan{}, err
		}
		if report.Group == "" {
			continue
		}
		switch {
		case group == "" || report.Group.Succeeds(group):
			group = report.Group
		case report.Group != group && !group.Succeeds(report.Group):
			return Plan{}, eris.Wrapf(ErrOtherGroup, "%s belongs to group %s, and not to %s", report.Address, report.Group, group)
		}
		now = max(now, report.LeaseUntil)
		token = max(token, report.PlannerToken)
		if err := report.checkBundles(); err != nil {
			return Plan{}, err
		}
	}
	if group == "" {
		return Plan{}, ErrUnknownGroup
	}
	plan := Plan{Group: group.Next(), State: state}
	state.Now = now.Add(timeMargin)
	plan.recoverConfigurations(reports)
	plan.recoverClosures(reports)
	plan.voidLeases(token)
	return plan, nil
}

func (r DaemonReport) checkLeaderLost() error {
	if r.LeaderContactMsAgo >= 0 && time.Duration(r.LeaderContactMsAgo)*time.Millisecond < leaderAliveTimeout {
		return eris.Wrapf(ErrGroupAlive, "%s had contact to a leader %d ms ago", r.Address, r.LeaderContactMsAgo)
	}
	return nil
}

func (r DaemonReport) checkBundles() error {
	for version, bundle := range r.Bundles {
		if _, faults := document.Parse(bundle); len(faults) > 0 {
			return eris.Wrapf(ErrInvalidBundle, "%s holds a faulty bundle as version %d: %v", r.Address, version, faults)
		}
	}
	return nil
}

// voidLeases ends all leases of the lost generation, and keeps their ids and tokens from being used again.
func (p *Plan) voidLeases(token ident.FencingToken) {
	p.State.Workers = workerid.New()
	for worker := ident.WorkerID(0); worker <= workerid.MaxWorkerID; worker++ {
		p.State.Workers.Floors[worker] = p.State.Now - 1
	}
	// The planner's lease ends now, so that a planner of the lost generation has lost it before the next may begin.
	p.State.PlannerLease = statemachine.PlannerLease{Token: token + tokenMargin, Expiry: p.State.Now}
}

// recoverClosures adopts the newest closures that anyone knows of.
func (p *Plan) recoverClosures(reports []DaemonReport) {
	for _, report := range reports {
		if report.Closures != nil && report.Closures.Version > p.State.Closures.Version {
			p.State.Closures = report.Closures.Clone()
		}
	}
}

// recoverConfigurations completes the history up to the newest version that anyone knows of. Versions whose
// configuration nobody holds stay in the history without one.
func (p *Plan) recoverConfigurations(reports []DaemonReport) {
	var newest ident.Version
	for _, report := range reports {
		newest = max(newest, report.ConfigurationVersion)
	}
	for version := p.State.Version() + 1; version <= newest; version++ {
		proposal := p.recoveredProposal(version, reports)
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

// recoveredProposal stands in for the proposal that put a version in force, which only the lost majority knew.
func (p *Plan) recoveredProposal(version ident.Version, reports []DaemonReport) *statemachine.Proposal {
	proposal := &statemachine.Proposal{
		ID: fmt.Sprintf("recovered-epoch-%d", version), Base: version - 1, Stage: statemachine.StageRolledOut, Version: version,
		Proposed:  statemachine.OperatorAction{Operator: "recovery", At: p.State.Now, Note: "taken from a living daemon"},
		RolledOut: &statemachine.OperatorAction{Operator: "recovery", At: p.State.Now},
	}
	for _, report := range reports {
		if bundle := report.Bundles[version]; len(bundle) > 0 {
			proposal.Configuration = bundle
			break
		}
	}
	if parsed, _ := document.Parse(proposal.Configuration); parsed != nil && parsed.Forward != nil {
		proposal.Revision = ident.Revision(parsed.Forward.Revision)
	}
	return proposal
}
