package contract

import (
	"testing"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func TestEachClassIsServedCompletely(t *testing.T) {
	b := newBench(t)
	b.plain(nil)
	b.model(nil)
	for _, class := range []string{"again", "once", "stream", "resume"} {
		b.known(class, 1)
		attempt := b.answered(b.request(class))
		if !attempt.Success() || attempt.AnsweredID != attempt.AttemptID {
			t.Errorf("%s: %+v", class, attempt)
		}
		if stamp, genuine := protocol.ReadStamp(attempt.Seal); !genuine || stamp.Attempt != attempt.AttemptID {
			t.Errorf("%s: the stamp %q", class, attempt.Seal)
		}
	}
	b.sound()
}
