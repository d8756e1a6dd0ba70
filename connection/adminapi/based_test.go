package adminapi

import (
	"fmt"
	"testing"

	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// TestNodeActionsNameTheClosuresTheyBuildOn: so that a copy of it which comes late finds itself or is refused.
func TestNodeActionsNameTheClosuresTheyBuildOn(t *testing.T) {
	for act, page := range map[string]operatorapi.Nodes{
		"drain": ranks(nodehealth.Allowed, operatorapi.Node{}), "keep": ranks(nodehealth.Allowed, operatorapi.Node{}),
		"release": ranks(nodehealth.AlreadyClosed, operatorapi.Node{Closed: true, ClosedBy: "ana", ProtectedBy: "ana"}),
	} {
		p := &planning{page: page}
		status, message := post(p, fmt.Sprintf(`{"engine":"e","act":%q,"operator":"ana"}`, act))
		if status != 200 || len(p.commands) == 0 {
			t.Fatalf("%s: %d %+v", act, status, message)
		}
		for _, command := range p.commands {
			if !command.HasBase || command.Base != 9 {
				t.Errorf("%s: %+v builds on nothing", act, command)
			}
		}
	}
}
