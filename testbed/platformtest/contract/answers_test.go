package contract

import (
	"testing"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func TestEachClassIsServedWhole(t *testing.T) {
	b := newBench(t)
	b.plain(nil)
	b.model(nil)
	for _, class := range []string{"again", "once", "stream", "resume"} {
		b.known(class, 1)
		try := b.answered(b.request(class))
		if !try.Success() || try.Attempted != try.Attempt {
			t.Errorf("%s: %+v", class, try)
		}
		if stamp, genuine := protocol.ReadStamp(try.Seal); !genuine || stamp.Attempt != try.Attempt {
			t.Errorf("%s: the stamp %q", class, try.Seal)
		}
	}
	b.sound()
}
