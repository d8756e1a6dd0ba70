package scenario

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/testbed/checker"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Roll takes a bundle through all stages, and records its acknowledgement.
func (r *Run) Roll(note string, base uint64) error {
	return r.rollBody(note, base, r.Fleet.Deployment.Configuration(note, r.removedRoutes))
}

func (r *Run) rollBody(note string, base uint64, body []byte) error {
	id := fmt.Sprintf("%s-%d", note, r.Seed)
	if _, err := r.Ask(operatorapi.PathPropose, operatorapi.Propose{ProposalID: id, Base: ident.Version(base), Operator: "ana", Configuration: body}, nil); err != nil {
		return err
	}
	return r.finishRoll(id, body)
}

func (r *Run) finishRoll(id string, body []byte) error {
	for _, step := range []struct{ path, operator string }{{operatorapi.PathReview, "berta"}, {operatorapi.PathSign, "chen"}, {operatorapi.PathRoll, "ana"}} {
		var answer rollout.Response
		status, err := r.Ask(step.path, operatorapi.ProposalAction{ProposalID: id, Operator: step.operator}, &answer)
		if err != nil {
			return err
		}
		if step.path == operatorapi.PathRoll {
			r.rolled(id, status, answer, body)
		}
	}
	return nil
}

// rolled records the outcome of a roll-out, and follows one that is not acknowledged until it is.
func (r *Run) rolled(id string, status int, answer rollout.Response, body []byte) {
	action := checker.Action{Kind: checker.Rolled, Subject: fmt.Sprintf("epoch %d (%s), in force at %d daemons", answer.Proposal.Version, id, len(answer.InForceAt)),
		Version: uint64(answer.Proposal.Version), Body: body}
	if status == http.StatusOK {
		r.Record(action)
		return
	}
	committed := action
	committed.Kind, committed.Subject = checker.Committed, fmt.Sprintf("epoch %d (%s), lacking at %v", action.Version, id, answer.Missing)
	r.Record(committed)
	r.follow(operatorapi.PathRoll, operatorapi.ProposalAction{ProposalID: id, Operator: "ana"}, func() { action.At = 0; r.Record(action) })
}

// Race has two operators roll different bundles out on the same base: one must lose.
func (r *Run) Race(base uint64) error {
	bodies := map[string][]byte{}
	for _, name := range []string{"race-a", "race-b"} {
		id := fmt.Sprintf("%s-%d", name, r.Seed)
		bodies[id] = r.Fleet.Deployment.Configuration(name, r.removedRoutes)
		if _, err := r.Ask(operatorapi.PathPropose, operatorapi.Propose{ProposalID: id, Base: ident.Version(base), Operator: "ana", Configuration: bodies[id]}, nil); err != nil {
			return err
		}
		for _, step := range []struct{ path, operator string }{{operatorapi.PathReview, "berta"}, {operatorapi.PathSign, "chen"}} {
			if _, err := r.Ask(step.path, operatorapi.ProposalAction{ProposalID: id, Operator: step.operator}, nil); err != nil {
				return err
			}
		}
	}
	type outcome struct {
		id     string
		status int
		answer rollout.Response
	}
	outcomes := make(chan outcome, len(bodies))
	for id := range bodies {
		go func() {
			o := outcome{id: id}
			o.status, _ = r.Ask(operatorapi.PathRoll, operatorapi.ProposalAction{ProposalID: id, Operator: "ana"}, &o.answer)
			outcomes <- o
		}()
	}
	for range bodies {
		o := <-outcomes
		switch o.status {
		case http.StatusOK, http.StatusAccepted:
			r.rolled(o.id, o.status, o.answer, bodies[o.id])
		case http.StatusConflict:
			r.Record(checker.Action{Kind: checker.Refused, Subject: "the loser of a race", Body: bodies[o.id]})
		default:
			return fmt.Errorf("a racing roll ended with status %d", o.status)
		}
	}
	return nil
}

// RejectInvalid submits bundles that must never be in force: one with faults, one signed by its author.
func (r *Run) RejectInvalid(base uint64) error {
	bad := []byte(strings.Replace(string(r.Fleet.Deployment.Configuration("bad", nil)), `"zones"`, `"zonen"`, 1))
	status, err := r.Ask(operatorapi.PathPropose, operatorapi.Propose{ProposalID: "bad", Base: ident.Version(base), Operator: "ana", Configuration: bad}, nil)
	if status != http.StatusBadRequest {
		return fmt.Errorf("a bundle with faults was answered with %d: %w", status, err)
	}
	r.Record(checker.Action{Kind: checker.Refused, Subject: "a bundle with faults", Body: bad})
	own := r.Fleet.Deployment.Configuration("own", r.removedRoutes)
	if _, err := r.Ask(operatorapi.PathPropose, operatorapi.Propose{ProposalID: "own", Base: ident.Version(base), Operator: "ana", Configuration: own}, nil); err != nil {
		return err
	}
	if _, err := r.Ask(operatorapi.PathReview, operatorapi.ProposalAction{ProposalID: "own", Operator: "berta"}, nil); err != nil {
		return err
	}
	if status, err := r.Ask(operatorapi.PathSign, operatorapi.ProposalAction{ProposalID: "own", Operator: "ana"}, nil); status != http.StatusForbidden {
		return fmt.Errorf("an author's own sign-off was answered with %d: %w", status, err)
	}
	if status, err := r.Ask(operatorapi.PathRoll, operatorapi.ProposalAction{ProposalID: "own", Operator: "ana"}, nil); status != http.StatusForbidden {
		return fmt.Errorf("an unsigned roll was answered with %d: %w", status, err)
	}
	r.Record(checker.Action{Kind: checker.Refused, Subject: "an unsigned bundle", Body: own})
	return nil
}
