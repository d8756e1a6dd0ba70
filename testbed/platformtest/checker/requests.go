package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// broken says whether an engine broke its answer to an attempt itself.
func (b *index) broken(attempt string) bool {
	return slices.ContainsFunc(b.arrivals[attempt], func(a *history.Arrival) bool { return a.Broken })
}

// mixedAnswers checks that an answer is complete, belongs to its request and is the engine's own, byte for byte.
func (b *index) mixedAnswers() Finding {
	f := Finding{Rule: "MIXED"}
	for _, attempt := range b.Attempts {
		if attempt.Unsolicited != "" {
			f.Checked++
			if strings.HasPrefix(attempt.Unsolicited, "HTTP/1.1 2") || !strings.HasPrefix(attempt.Unsolicited, "HTTP/1.") {
				f.violation("%s: bytes came while no request waited: %.60q", attempt.AttemptID, attempt.Unsolicited)
			}
		}
		if attempt.Malformed != "" {
			f.Checked++
			if !b.broken(attempt.AttemptID) || attempt.Status == 0 {
				f.violation("%s: what came is no answer: %s", attempt.AttemptID, attempt.Malformed)
			}
		}
		if attempt.Status == 0 {
			continue
		}
		f.Checked++
		if attempt.AnsweredID != "" && attempt.AnsweredID != attempt.AttemptID {
			f.violation("%s got the answer to %s", attempt.AttemptID, attempt.AnsweredID)
		}
		for _, event := range attempt.Events {
			if id, _, _, _, ok := protocol.ReadEventData(event.Data); !ok || id != attempt.AttemptID {
				f.violation("%s got an event of another: %s", attempt.AttemptID, event.Data)
				break
			}
		}
		stamp, genuine := protocol.ReadStamp(attempt.Seal)
		if !attempt.Success() {
			if attempt.Seal != "" && (!genuine || stamp.Status != attempt.Status) {
				f.violation("%s: a failure of %d bears a stamp of %d", attempt.AttemptID, attempt.Status, stamp.Status)
			}
			continue
		}
		switch {
		case !genuine:
			f.violation("%s: a success without an engine's stamp", attempt.AttemptID)
		case attempt.Encoding != "" && attempt.Encoding != "identity":
			f.violation("%s: a success with an encoding", attempt.AttemptID)
		case stamp.Attempt != attempt.AttemptID:
			f.violation("%s: the stamp is of %s", attempt.AttemptID, stamp.Attempt)
		case stamp.Status != attempt.Status:
			f.violation("%s: the engine answered %d, and %d came", attempt.AttemptID, stamp.Status, attempt.Status)
		case stamp.Length >= 0 && (len(attempt.ResponseBody) != stamp.Length || protocol.Digest(attempt.ResponseBody) != stamp.Digest):
			f.violation("%s: the body is not the engine's whole body", attempt.AttemptID)
		}
	}
	return f
}

// unrequested checks that engines execute only requests that a client sent, unchanged.
func (b *index) unrequested() Finding {
	f := Finding{Rule: "UNASKED"}
	for _, arrival := range b.Arrivals {
		if !arrival.Ran() {
			continue
		}
		f.Checked++
		attempt := b.attempts[arrival.AttemptID]
		switch {
		case attempt == nil:
			f.violation("%s ran %q, which no client sent", arrival.Engine, arrival.AttemptID)
		case arrival.Method != attempt.Method || arrival.URI != attempt.URI:
			f.violation("%s was sent as %s %s and ran as %s %s", attempt.AttemptID, attempt.Method, attempt.URI, arrival.Method, arrival.URI)
		case arrival.BodyDigest != attempt.BodyDigest:
			f.violation("%s ran with another body", attempt.AttemptID)
		case arrival.Prompt.WriteModel() != attempt.Prompt.WriteModel() || arrival.Prompt.WriteCounts() != attempt.Prompt.WriteCounts() || arrival.Prompt.WriteParts() != attempt.Prompt.WriteParts():
			f.violation("%s was sent as %+v and ran as %+v", attempt.AttemptID, attempt.Prompt, arrival.Prompt)
		default:
			if fault := b.tenantFault(attempt, arrival); fault != "" {
				f.violation("%s %s", attempt.AttemptID, fault)
			}
		}
	}
	return f
}

// executions counts the arrivals that were executed, and lists their engines.
func executions(arrivals []*history.Arrival) (count int, where []string) {
	for _, arrival := range arrivals {
		if arrival.Ran() {
			count++
			where = append(where, arrival.Engine)
		}
	}
	return count, where
}

// executedTwice checks that a non-idempotent request is executed at most once.
func (b *index) executedTwice() Finding {
	f := Finding{Rule: "TWICE"}
	for _, attempt := range b.Attempts {
		count, where := executions(b.arrivals[attempt.AttemptID])
		if b.idempotent(attempt) || count == 0 {
			continue
		}
		f.Checked++
		if count > 1 {
			f.violation("%s ran at %v", attempt.AttemptID, where)
		}
	}
	return f
}

// executedAfterRefusal checks that a request with an answer that promises no execution was not executed.
func (b *index) executedAfterRefusal() Finding {
	f := Finding{Rule: "REFUSED"}
	for _, attempt := range b.Attempts {
		if b.idempotent(attempt) || !attempt.PromisesNotRun() {
			continue
		}
		f.Checked++
		if count, where := executions(b.arrivals[attempt.AttemptID]); count > 0 {
			f.violation("%s was answered %d and ran at %v", attempt.AttemptID, attempt.Status, where)
		}
	}
	return f
}

// unknownFew is how many answers 401, 403 or 404 machines without contact may give.
const unknownFew = 10

// deniedRequests checks that daemons do not reject requests that the configuration in force allows.
func (b *index) deniedRequests() Finding {
	f := Finding{Rule: "DENIED"}
	var denied, unknown []string
	for _, attempt := range b.Attempts {
		if !attempt.Probe && !attempt.Absent {
			f.Checked++
		}
		if attempt.Probe || attempt.Absent || !answeredByDaemon(attempt) || attempt.PromisesNotRun() || attempt.Status < 300 || attempt.Status > 499 {
			continue
		}
		if !b.inContact(attempt.Daemon, attempt.Ended) {
			if slices.Contains([]int{401, 403, 404}, attempt.Status) && b.alwaysAllowed(attempt) {
				unknown = append(unknown, fmt.Sprintf("%s was answered %d by %s, which had no contact", attempt.AttemptID, attempt.Status, attempt.Daemon))
			}
			continue
		}
		if b.alwaysAdmitted(attempt) {
			denied = append(denied, fmt.Sprintf("%s was answered %d by %s", attempt.AttemptID, attempt.Status, attempt.Daemon))
		}
	}
	if len(denied) > 5+f.Checked/500 {
		f.Violations = denied
	}
	if len(unknown) > unknownFew {
		f.Violations = append(f.Violations, unknown...)
	}
	return f
}

// alwaysAllowed says whether all configurations of the run have a route for a request and admit its key.
func (b *index) alwaysAllowed(attempt *history.Attempt) bool {
	return !slices.ContainsFunc(b.versions, func(version *history.Change) bool {
		return !admits(version.Config, attempt)
	})
}

// routing checks that each request ran at a service, and with a key, that some configuration allowed.
func (b *index) routing() Finding {
	f := Finding{Rule: "ROUTE"}
	for _, arrival := range b.Arrivals {
		if !arrival.Ran() {
			continue
		}
		f.Checked++
		ever := func(items []*history.Change) bool {
			return slices.ContainsFunc(items, func(c *history.Change) bool { return allows(c.Config, arrival.Host, arrival.URI, arrival.Service) })
		}
		if !ever(b.versions) && !ever(b.rejected) {
			f.violation("%s ran at %s of %s, which no configuration ever allowed", arrival.AttemptID, arrival.Engine, arrival.Service)
			continue
		}
		if attempt := b.attempts[arrival.AttemptID]; attempt != nil {
			if fault := b.keyFault(attempt); fault != "" {
				f.violation("%s %s", arrival.AttemptID, fault)
			}
		}
	}
	return f
}
