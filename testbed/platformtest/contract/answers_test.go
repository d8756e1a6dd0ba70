package contract

import (
	"testing"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func TestEachClassIsServedCompletely(t *testing.T) {
	f := newFixture(t)
	f.plain(nil)
	f.model(nil)
	for _, class := range []string{"again", "once", "stream", "resume"} {
		f.awaitEngines(class, 1)
		attempt := f.askUntilExecuted(f.request(class))
		if !attempt.Success() || attempt.AnsweredID != attempt.AttemptID {
			t.Errorf("%s: %+v", class, attempt)
		}
		if stamp, genuine := protocol.ReadStamp(attempt.Seal); !genuine || stamp.Attempt != attempt.AttemptID {
			t.Errorf("%s: the stamp %q", class, attempt.Seal)
		}
	}
	f.checkRules()
}
