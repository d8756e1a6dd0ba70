package endtoend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

// stopped stops a daemon as planned, and gives its last line.
func (b *bench) stopped() string {
	b.t.Helper()
	close(b.stop)
	if err := <-b.ended; err != nil {
		b.t.Fatal(err)
	}
	b.ran = false
	last := b.logs.Entries[len(b.logs.Entries)-1]
	return fmt.Sprint(last.Message, " ", last.Fields["unreleased"])
}

// TestShutdownReportsWhatWasNotHandedOver: the first of three leaves nothing behind. The second of them may not be done
// without, stays until its time is up, and says what it takes along; so does the last.
func TestShutdownReportsWhatWasNotHandedOver(t *testing.T) {
	p := part(t, 0, func(c *daemonconfig.Config) { c.DrainMs = 2500 })
	p.register("r0", "r1")
	leader := awaitLeader(p.core)
	var followers []*bench
	for _, b := range p.core {
		if b != leader {
			followers = append(followers, b)
		}
	}
	if line := followers[0].stopped(); strings.HasPrefix(line, "stopped without") {
		t.Errorf("with all others there it says: %s", line)
	}
	if line := followers[1].stopped(); !strings.Contains(line, "log entries") {
		t.Errorf("one that may not be done without says: %s", line)
	}
	if line := leader.stopped(); !strings.Contains(line, "log entries") || !strings.Contains(line, "worker id") {
		t.Errorf("the last of three says: %s", line)
	}
}
