package endtoend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/fleet"
)

// silence is how long an operator's caller waits for an answer, with what a busy machine may add, of the time that
// the machine grants.
const silence = 1500 * time.Millisecond

// noting is a data folder that tells when an order has been written to it, before anyone else hears of that.
type noting struct {
	under   replica.Disk
	written func()
}

func (n noting) Write(group ident.GroupID, save raft.Save) error {
	err := n.under.Write(group, save)
	for _, entry := range save.Entries {
		if bytes.Contains(entry.Data, []byte(`"op":"`+string(statemachine.OpApply)+`"`)) {
			n.written()
			break
		}
	}
	return err
}

// ordered is a group of three whose links can be cut, and a hook on every order that one of them writes.
type ordered struct {
	*parted
	written atomic.Pointer[func(*bench)]
}

func order(t *testing.T) *ordered {
	t.Helper()
	first := prepare(t)
	o := &ordered{parted: &parted{t: t, links: fleet.NewLinks()}}
	var seeds []string
	for i := range 3 {
		b := first
		if i > 0 {
			b = &bench{t: t, platform: first.platform}
			b.place()
		}
		listener, err := net.Listen("tcp", free(t))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		b.name, b.reached = fmt.Sprint("core", i), listener.Addr().String()
		seeds, o.core = append(seeds, b.reached), append(o.core, b)
		b.settle = func(c *daemonconfig.Config) { c.DirectApply = true }
		b.options = []daemon.Option{daemon.WithDisk(func(under replica.Disk) replica.Disk {
			return noting{under, func() {
				if hook := o.written.Load(); hook != nil {
					(*hook)(b)
				}
			}}
		})}
		go o.links.Carry(listener, b.name, b.fellow)
	}
	for _, b := range o.core {
		b.seeds = seeds
		b.run()
	}
	first.await("the group has a leader", func() bool { return leaderOf(o.core) != nil })
	first.await("the first bundle is taken", func() bool { status, _ := first.apply(0, encode(t, forwarding(5, 1))); return taken(status) })
	return o
}

// onceWritten calls back the first time that one of some daemons has written an order.
func (o *ordered) onceWritten(by func(*bench) bool, then func()) {
	var once sync.Once
	hook := func(b *bench) {
		if by(b) {
			once.Do(then)
		}
	}
	o.written.Store(&hook)
}

func (o *ordered) leader() (leader *bench) {
	o.t.Helper()
	o.core[0].await("there is a leader", func() bool { leader = leaderOf(o.core); return leader != nil })
	return leader
}

func (o *ordered) others(leader *bench) (out []*bench) {
	for _, b := range o.core {
		if b != leader {
			out = append(out, b)
		}
	}
	return out
}

// settled waits until all agree on the newest bundle, and gives its revision.
func (o *ordered) settled() uint64 {
	o.t.Helper()
	o.written.Store(nil)
	o.links.Heal()
	var revision uint64
	o.core[0].await("all have the same in force", func() bool {
		status, _, data, _ := o.core[0].bundleCall("GET", "", nil)
		var read document.Configuration
		if status != 200 || json.Unmarshal(data, &read) != nil {
			return false
		}
		revision = read.Forward.Revision
		for _, b := range o.core[1:] {
			if b.status().ConfigurationVersion != o.core[0].status().ConfigurationVersion {
				return false
			}
		}
		return true
	})
	return revision
}

// TestALeaderIsCutOffWhenItsOrderIsCommitted cuts the leader off when a follower has the order on its disk and
// has not yet said so: the order is committed, and nobody can know.
func TestALeaderIsCutOffWhenItsOrderIsCommitted(t *testing.T) {
	o := order(t)
	leader := o.leader()
	o.onceWritten(func(b *bench) bool { return b != leader }, func() { o.cut(leader, o.core) })
	six, rival := encode(t, forwarding(6, 2)), encode(t, forwarding(7, 3))
	status, _, _, took := leader.bundleCall("PUT", "?operator=ana&base=5", six)
	if status != 503 || took > silence {
		t.Errorf("an order whose fate nobody knows: %d after %v", status, took)
	}
	if status, _, _, took := leader.bundleCall("GET", "", nil); status != 503 || took > silence {
		t.Errorf("reading back at one that is cut off: %d after %v", status, took)
	}
	others := o.others(leader)
	others[0].await("another leads", func() bool { return leaderOf(others) != nil })
	others[0].await("the same order is acknowledged by the others", func() bool {
		status, reply := others[0].apply(5, six)
		if status == 409 || status == 400 {
			t.Fatalf("an order that was taken is refused: %+v", reply)
		}
		return taken(status)
	})
	if status, reply := others[1].applied(5, rival); status != 409 || reply.Revision != 6 {
		t.Errorf("another on the same base: %d %+v", status, reply)
	}
	if revision := o.settled(); revision != 6 || leader.status().ConfigurationVersion != 2 {
		t.Errorf("revision %d is in force, as epoch %d", revision, leader.status().ConfigurationVersion)
	}
	if status, reply := leader.applied(5, six); !taken(status) {
		t.Error("the same order at the old leader:", status, reply)
	}
}

// TestALeaderIsCutOffBeforeItsOrderIsCommitted cuts the leader off when it alone has the order on its disk.
// Another order wins meanwhile; the first has then lost for ever, also where it was written.
func TestALeaderIsCutOffBeforeItsOrderIsCommitted(t *testing.T) {
	o := order(t)
	leader := o.leader()
	six, rival := encode(t, forwarding(6, 2)), encode(t, forwarding(7, 3))
	// Cut off, it leads on for a moment and writes what it can't spread.
	o.cut(leader, o.core)
	status, _, _, took := leader.bundleCall("PUT", "?operator=ana&base=5", six)
	if status != 503 || took > silence {
		t.Errorf("an order at a leader that is cut off: %d after %v", status, took)
	}
	others := o.others(leader)
	others[0].await("another leads", func() bool { return leaderOf(others) != nil })
	others[0].await("the rival is taken", func() bool { status, _ := others[0].apply(5, rival); return taken(status) })
	if revision := o.settled(); revision != 7 {
		t.Errorf("revision %d is in force", revision)
	}
	for _, b := range o.core {
		b.await("the loser is told", func() bool {
			status, _ := b.apply(5, six)
			if taken(status) {
				t.Fatal("both won")
			}
			return status == 409
		})
	}
}

// TestEveryProcessEndsWhenAnOrderIsCommitted ends all at the moment when an order is on a majority's disks.
func TestEveryProcessEndsWhenAnOrderIsCommitted(t *testing.T) {
	o := order(t)
	leader := o.leader()
	o.onceWritten(func(b *bench) bool { return b != leader }, func() {
		for _, b := range o.core {
			o.cut(b, o.core)
		}
	})
	six := encode(t, forwarding(6, 2))
	if status, reply := leader.apply(5, six); status != 503 {
		t.Errorf("an order whose fate nobody knows: %d %+v", status, reply)
	}
	o.written.Store(nil)
	for _, b := range o.core {
		b.end()
	}
	o.links.Heal()
	for _, b := range o.core {
		b.stop, b.hurry, b.ended = make(chan struct{}), make(chan struct{}), make(chan error, 1)
		b.run()
	}
	o.core[0].await("all act again", func() bool {
		for _, b := range o.core {
			select {
			case err := <-b.ended:
				t.Fatalf("%s ended by itself: %v", b.name, err)
			default:
			}
			if raft := b.status().Raft; raft == nil {
				return false
			}
		}
		return leaderOf(o.core) != nil
	})
	o.core[1].await("the order is acknowledged", func() bool {
		status, reply := o.core[1].apply(5, six)
		if status == 409 || status == 400 {
			t.Fatalf("an order that was taken is refused: %+v", reply)
		}
		return taken(status)
	})
	if revision := o.settled(); revision != 6 {
		t.Errorf("revision %d is in force", revision)
	}
}

// TestAnOperatorThroughSplits lets one operator change the bundle again and again, on top of what it was last
// acknowledged, while links are cut and healed. Whatever gets no clear answer is sent again as it was. So
// nothing it sends may ever be refused, and in the end the newest acknowledged bundle reads back.
func TestAnOperatorThroughSplits(t *testing.T) {
	o := order(t)
	random := rand.New(rand.NewPCG(9, 10))
	base, last := uint64(5), forwarding(5, 1).Forward
	for round := range 18 {
		if round%3 == 1 {
			cut := o.core[random.IntN(3)]
			if leader := leaderOf(o.core); leader != nil && random.IntN(3) > 0 {
				cut = leader
			}
			if writer := o.core[random.IntN(3)]; random.IntN(2) == 0 {
				o.onceWritten(func(b *bench) bool { return b == writer }, func() { o.cut(cut, o.core) })
			} else {
				o.cut(cut, o.core)
			}
		}
		next := base + 1 + random.Uint64N(5)
		change := upstream.Patch{Revision: next, Upsert: upstream.Items{Paths: []upstream.Path{path(fmt.Sprint("n", round%7), "q")}}, Remove: upstream.Names{Paths: []string{fmt.Sprint("n", (round+3)%7)}}}
		for try := 0; ; try++ {
			if try == 8 {
				// Where the operator reaches only one that is cut off, it would call for ever.
				o.written.Store(nil)
				o.links.Heal()
			}
			if try > 400 {
				t.Fatal("no clear answer")
			}
			status, reply, _, took := o.core[random.IntN(3)].bundleCall("PATCH", fmt.Sprintf("?operator=ana&base=%d", base), encode(t, change))
			if status == 409 || status == 400 || status == 404 {
				t.Fatalf("round %d: an order on the newest is refused: %d %+v", round, status, reply)
			}
			if took > silence {
				t.Errorf("round %d: it took %v to answer %d", round, took, status)
			}
			if taken(status) {
				break
			}
		}
		merged := last.Merge(&change)
		base, last = next, &merged
		if random.IntN(3) == 0 {
			o.written.Store(nil)
			o.links.Heal()
		}
	}
	if revision := o.settled(); revision != base || !same(t, o.core[1].newest().Forward, last) {
		t.Errorf("revision %d is in force, and %d was acknowledged last", revision, base)
	}
}

// TestTheToolAppliesBundles runs the operators' tool.
func TestTheToolAppliesBundles(t *testing.T) {
	group := together(t, 1, true, nil)
	folder := t.TempDir()
	tool := filepath.Join(folder, "cresspond")
	if out, err := exec.Command("go", "build", "-o", tool, "github.com/cresspond/cresspond/cmd/cresspond").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file := func(name string, content []byte) string {
		name = filepath.Join(folder, name)
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	run := func(want int, says string, arguments ...string) {
		t.Helper()
		var code int
		var out []byte
		// Where nobody could tell, it says to send the same call again.
		group[0].await("the tool has a clear answer", func() bool {
			command := exec.Command(tool, append([]string{"--daemon", group[0].address, "--operator", "ana", "bundle"}, arguments...)...)
			var err error
			out, err = command.CombinedOutput()
			failed := (*exec.ExitError)(nil)
			if code = 0; errors.As(err, &failed) {
				code = failed.ExitCode()
			}
			return code != 1 || !strings.Contains(string(out), "send the same call again")
		})
		if code != want || !strings.Contains(string(out), says) {
			t.Errorf("%v ends with %d, want %d and %q:\n%s", arguments, code, want, says, out)
		}
	}
	five := file("five", encode(t, forwarding(5, 2)))
	run(1, "no bundle is in force", "show")
	run(2, "base", "apply", five)
	run(0, "acknowledged", "apply", five, "--base", "0")
	run(0, "acknowledged", "apply", five, "--base", "0")
	run(1, "as revision 5", "apply", file("six", encode(t, forwarding(6, 2))), "--base", "0")
	bad := forwarding(6, 2)
	bad.Forward.Paths[0].DeadlineMs = 0
	run(1, "forward.paths[0].deadlineMs", "apply", file("bad", encode(t, bad)), "--base", "5")
	run(0, "revision 9", "patch", file("patch", encode(t, upstream.Patch{Revision: 9, Remove: upstream.Names{Paths: []string{"r0"}}})), "--base", "5")
	run(0, "revision 9", "show")
	run(1, "is missing", "apply", file("sessions", encode(t, testConfiguration(1, 1))), "--base", "9")
}
