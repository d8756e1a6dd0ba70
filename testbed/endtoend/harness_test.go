// Package endtoend runs one whole daemon against stand-ins, and looks at it as callers, engines,
// operators and fellows do: over sockets.
package endtoend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"golang.org/x/sys/unix"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/caller"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/testbed/platform"
	"github.com/cresspond/cresspond/wire/callerapi"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/platformapi"
)

// bench is one daemon with its stand-ins.
type bench struct {
	// logs keeps the daemon's lines, where it is set before the start.
	logs     *memory.Handler
	t        *testing.T
	address  string
	fellow   string
	data     string
	platform *platform.Platform
	engines  []platformapi.Engine
	journals []string
	stands   []*engine.Engine
	stop     chan struct{}
	hurry    chan struct{}
	ended    chan error
	// done is closed when the daemon has ended.
	done   chan struct{}
	bundle []byte
	// name and seeds are set where there are more daemons than one, options where one is not ordinary.
	name    string
	seeds   []string
	options []daemon.Option
	// settle changes the settings of a daemon that is not ordinary.
	settle func(*daemonconfig.Config)
	ran    bool
	// reached is where others reach it, if something stands between; serve is what it serves, if not all.
	reached string
	serve   []daemonconfig.Role
}

var benches atomic.Int64

func free(t *testing.T) string {
	t.Helper()
	// An address of its own for each listener: no other test and no outgoing connection can be given its port.
	number := int(benches.Add(1))
	listener, err := net.Listen("tcp", loopbackAddress(os.Getpid(), number))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

const (
	// hostsPerBlock is how many addresses share their first three bytes: 1 to 254.
	hostsPerBlock = 254
	// blockSpan is how many second bytes the blocks of one number have, one for each upper part of a process id.
	blockSpan = 64
	// firstBlock is the second byte from which the first block goes up; each further block lies below the one before.
	firstBlock = 130
)

// loopbackAddress is the number-th address of a process's own, counted from 1, with any free port.
func loopbackAddress(process, number int) string {
	block, host := (number-1)/hostsPerBlock, (number-1)%hostsPerBlock+1
	second := firstBlock - block*blockSpan + process>>8&(blockSpan-1)
	return fmt.Sprintf("127.%d.%d.%d:0", second, process&0xff, host)
}

// TestLoopbackAddressesDiffer: no two listeners of a run share an address, and all are loopback addresses.
func TestLoopbackAddressesDiffer(t *testing.T) {
	const mostListeners = 3 * hostsPerBlock
	for _, process := range []int{1, 255, 0x3fff, 4194303} {
		known := map[string]bool{}
		for number := 1; number <= mostListeners; number++ {
			address := loopbackAddress(process, number)
			if parsed, err := net.ResolveTCPAddr("tcp", address); err != nil || !parsed.IP.IsLoopback() || known[address] {
				t.Fatalf("listener %d of process %d: %s, %v", number, process, address, err)
			}
			known[address] = true
		}
	}
}

func testConfiguration(engines, slots int) document.Configuration {
	s := document.Configuration{
		Name: "bench", Zones: []document.Zone{{Name: "here"}, {Name: "there"}},
		Models:   []document.Model{{Name: "m", Size: 10}, {Name: "other", Size: 10}},
		Adapters: []document.Adapter{{Name: "a", Model: "m"}, {Name: "b", Model: "other"}},
		Routes: []document.Route{
			{Name: "r", Tenant: "h", Priority: 10, Models: []string{"m"}, Adapters: []string{"a"}},
			{Name: "high", Tenant: "h", Priority: 90, Models: []string{"m"}},
			{Name: "rival", Tenant: "k", Priority: 10, Models: []string{"m"}},
		},
		Store:  document.Store{MaxConcurrentLoads: 4},
		Limits: document.Limits{MaxBodyBytes: 4096, MaxPending: 50, MaxPendingBytes: 1 << 20, MaxDeadlineMs: 30000, AssignmentIdleMs: 20000, MaxRetryRatio: 0.1},
	}
	for i := range engines {
		s.Engines = append(s.Engines, document.Engine{ID: ident.EngineID(fmt.Sprintf("e%d", i)), Zone: "here", Capacity: 25, AdapterSlots: 4, Slots: slots})
	}
	return s
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "   ")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// start brings up a daemon and its engines, rolls a bundle and waits until model m is held by all engines that should hold it.
func start(t *testing.T, change func(*document.Configuration), configs ...engine.Config) *bench {
	t.Helper()
	t.Parallel()
	return startAgain(t, change, configs...)
}

// startAgain does the same in a test that may have begun with another.
func startAgain(t *testing.T, change func(*document.Configuration), configs ...engine.Config) *bench {
	t.Helper()
	b := standIns(t, configs...)
	if slices.ContainsFunc(configs, func(c engine.Config) bool { return c.Fault != "" }) {
		// An engine that stalls or never ends is waited for no longer than a test should take.
		b.options = append(b.options, daemon.WithStreamLimits(1500*time.Millisecond, time.Second))
	}
	b.run()
	b.await("the group acts", func() bool { return b.status().Raft != nil && b.status().Raft.Role == "leader" })
	b.begin(change, configs...)
	return b
}

// several brings up a group of daemons that serve everything, with one engine; each may have options of its own.
func several(t *testing.T, size int, options func(i int) []daemon.Option, configure ...func(*daemonconfig.Config)) []*bench {
	t.Helper()
	first := prepare(t, engine.Config{Slots: 8})
	out, seeds := []*bench{}, []string{}
	for i := range size {
		b := first
		if i > 0 {
			b = &bench{t: t, platform: first.platform, engines: first.engines, journals: first.journals}
			b.place()
		}
		b.name, b.options = fmt.Sprint("d", i), options(i)
		for _, change := range configure {
			b.settle = change
		}
		out, seeds = append(out, b), append(seeds, b.fellow)
	}
	for _, b := range out {
		b.seeds = seeds
		b.run()
	}
	first.await("the group has a leader", func() bool { return leaderOf(out) != nil })
	first.begin(nil, engine.Config{Slots: 8})
	for _, b := range out {
		b.await("all are ready", func() bool { return b.status().Ready })
	}
	return out
}

// leaderOf finds the daemon that leads.
func leaderOf(some []*bench) *bench {
	for _, b := range some {
		if raft := b.status().Raft; raft != nil && raft.Role == "leader" {
			return b
		}
	}
	return nil
}

// awaitLeader waits for the daemon that leads: between two elections none does.
func awaitLeader(some []*bench) (leader *bench) {
	some[0].t.Helper()
	some[0].await("there is a leader", func() bool {
		leader = leaderOf(some)
		return leader != nil
	})
	return leader
}

// place gives a daemon its addresses and its folder.
func (b *bench) place() {
	b.address, b.fellow, b.data, b.name = free(b.t), free(b.t), b.t.TempDir(), "one"
	b.stop, b.hurry, b.ended = make(chan struct{}), make(chan struct{}), make(chan error, 1)
	b.seeds = []string{b.fellow}
	b.t.Cleanup(b.end)
}

// prepare makes the stand-ins around a daemon that does not run yet.
func prepare(t *testing.T, configs ...engine.Config) *bench {
	t.Helper()
	t.Parallel()
	return standIns(t, configs...)
}

func standIns(t *testing.T, configs ...engine.Config) *bench {
	t.Helper()
	b := &bench{t: t}
	b.place()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b.platform = platform.New(listener)
	for i, c := range configs {
		c.ID = fmt.Sprintf("e%d", i)
		c.Capacity, c.Sizes, c.AdapterSlots = 25, map[string]int64{"m": 10, "other": 10}, 4
		if c.Slots == 0 {
			c.Slots = 4
		}
		c.LoadTime, c.AdapterTime, c.ReportLag = 20*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
		if c.ChunkTime == 0 {
			c.ChunkTime = 3 * time.Millisecond
		}
		path := filepath.Join(t.TempDir(), c.ID)
		writer, err := journal.NewWriter(path, c.ID)
		if err != nil {
			t.Fatal(err)
		}
		engineListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { engineListener.Close() })
		stand := engine.New(c, writer)
		go func() { _ = stand.Serve(engineListener) }()
		b.stands = append(b.stands, stand)
		b.journals = append(b.journals, path)
		b.engines = append(b.engines, platformapi.Engine{ID: ident.EngineID(c.ID), Address: engineListener.Addr().String(), Zone: "here"})
	}
	b.platform.Set(b.engines)
	return b
}

// begin rolls the first bundle and waits until the engines hold what they should.
func (b *bench) begin(change func(*document.Configuration), configs ...engine.Config) {
	b.t.Helper()
	slots := 4
	if len(configs) > 0 && configs[0].Slots > 0 {
		slots = configs[0].Slots
	}
	s := testConfiguration(len(configs), slots)
	if change != nil {
		change(&s)
	}
	b.bundle = encode(b.t, s)
	b.roll("first", 0, b.bundle)
	b.await("the daemon is ready", func() bool { return b.status().Ready })
	b.await("an engine holds m", func() bool { return strings.Contains(fmt.Sprint(b.status().Engines), "m:loaded") })
}

// run starts the daemon on its data folder.
func (b *bench) run() {
	settings := daemonconfig.Default()
	settings.Name, settings.Zone, settings.Listen, settings.PeerListen = b.name, "here", b.address, b.fellow
	settings.Seeds, settings.Roles, settings.PeerAddress = b.seeds, []daemonconfig.Role{daemonconfig.Route, daemonconfig.Control, daemonconfig.Placement}, b.reached
	if b.serve != nil {
		settings.Roles = b.serve
	}
	settings.DataDir, settings.Platform = b.data, b.platform.Address()
	if b.settle != nil {
		b.settle(&settings)
	}
	if faults := settings.Check(""); len(faults) > 0 {
		b.t.Fatal(faults)
	}
	d := daemon.New(settings, "test", &log.Logger{Handler: b.logHandler()}, append([]daemon.Option{daemon.WithClock(machine)}, b.options...)...)
	if b.ran {
		b.await("the data folder is released", b.folderReleased)
	}
	b.ran, b.done = true, make(chan struct{})
	stop, hurry, ended, done := b.stop, b.hurry, b.ended, b.done
	go func() {
		defer close(done)
		ended <- d.Run(stop, hurry)
	}()
}

// folderReleased says whether no daemon has locked the data folder. One that has stopped waits for its disk for half a
// second only, since its process would end; in this process a write that takes longer goes on, and keeps the lock.
func (b *bench) folderReleased() bool {
	lock, err := os.OpenFile(filepath.Join(b.data, "lock"), os.O_RDWR, 0)
	if err != nil {
		return true
	}
	defer lock.Close()
	return unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
}

// logHandler takes the daemon's lines; they are dropped where nobody looks for them.
func (b *bench) logHandler() log.Handler {
	if b.logs != nil {
		return b.logs
	}
	return discard.Default
}

func (b *bench) end() {
	if b.ran {
		select {
		case <-b.stop:
		default:
			close(b.stop)
			close(b.hurry)
			// A test may have read already how it ended.
			<-b.done
			select {
			case <-b.ended:
			default:
			}
		}
	}
}

// await waits for a condition; the guard only ends a hang.
func (b *bench) await(what string, holds func() bool) {
	b.t.Helper()
	began := machine.Elapsed()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		if machine.Elapsed().Since(began) > 60*time.Second {
			b.t.Fatalf("timed out waiting until %s; status %+v", what, b.status())
		}
		<-tick.C
	}
}

func (b *bench) status() (status operatorapi.Status) {
	b.get(operatorapi.PathStatus, &status)
	return status
}

var client = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (b *bench) get(path string, into any) (int, []byte) { return getAt(b.address, path, into) }

func getAt(address, path string, into any) (int, []byte) {
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	if into != nil {
		_ = json.Unmarshal(data, into)
	}
	return response.StatusCode, data
}

func (b *bench) post(path string, body []byte) (int, operatorapi.Error, []byte) {
	b.t.Helper()
	response, err := client.Post("http://"+b.address+path, "application/json", strings.NewReader(string(body)))
	if err != nil {
		b.t.Fatal(err)
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	var reply operatorapi.Error
	_ = json.Unmarshal(data, &reply)
	return response.StatusCode, reply, data
}

func (b *bench) propose(id string, base uint64, operator string, bundle []byte) (int, operatorapi.Error) {
	b.t.Helper()
	body, err := operatorapi.Propose{ProposalID: id, Base: ident.Version(base), Operator: operator, Configuration: bundle}.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	return b.answered(operatorapi.PathPropose, body)
}

// answered calls until there is a clear answer, with the same ids, as the pages say: 503 is that nobody could tell,
// and 202 that it is committed and not yet everywhere.
func (b *bench) answered(path string, body []byte) (status int, reply operatorapi.Error) {
	b.t.Helper()
	b.await("there is a clear answer at "+path, func() bool {
		status, reply, _ = b.post(path, body)
		return status != http.StatusServiceUnavailable && status != http.StatusAccepted
	})
	return status, reply
}

func (b *bench) postStep(path, id, operator string) (int, operatorapi.Error) {
	b.t.Helper()
	return b.answered(path, encode(b.t, operatorapi.ProposalAction{ProposalID: id, Operator: operator}))
}

func (b *bench) roll(id string, base uint64, bundle []byte) {
	b.t.Helper()
	if status, reply := b.propose(id, base, "ana", bundle); status != 200 {
		b.t.Fatal(status, reply)
	}
	for _, step := range []struct{ path, operator string }{{operatorapi.PathReview, "berta"}, {operatorapi.PathSign, "chen"}, {operatorapi.PathRoll, "ana"}} {
		if status, reply := b.postStep(step.path, id, step.operator); status != 200 {
			b.t.Fatal(step.path, status, reply)
		}
	}
}

// lines reads what all engines wrote down of one kind for one attempt; an empty attempt takes all.
func (b *bench) lines(kind journal.Kind, attempt string) (out []journal.Line) {
	b.t.Helper()
	for _, path := range b.journals {
		all, err := journal.Read(path)
		if err != nil {
			b.t.Fatal(err)
		}
		for _, line := range all {
			if line.Kind == kind && (attempt == "" || line.Attempt == attempt) {
				out = append(out, line)
			}
		}
	}
	return out
}

func work() callerapi.Generate {
	return callerapi.Generate{Route: "r", House: "h", Model: "m", Prompt: "route=r;x", DeadlineMs: 10000}
}

func (b *bench) call(attempt string, request callerapi.Generate) caller.Record {
	return caller.Send(context.Background(), b.address, attempt, request)
}

// wire writes a request as bytes.
func wire(attempt string, body []byte) string {
	return fmt.Sprintf("POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

// closing asks for the connection to be closed after the answer.
func closing(request string) string {
	return strings.Replace(request, "Host: x\r\n", "Host: x\r\nConnection: close\r\n", 1)
}

// dial opens a raw connection.
func (b *bench) dial() *net.TCPConn {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	return conn.(*net.TCPConn)
}

// rest reads all that comes until the connection closes.
func rest(conn net.Conn) string {
	data, _ := io.ReadAll(bufio.NewReader(conn))
	return string(data)
}

func (b *bench) counter(name string) uint64 {
	_, page := b.get(operatorapi.PathCounters, nil)
	for line := range strings.Lines(string(page)) {
		var found string
		var value uint64
		if n, _ := fmt.Sscanf(line, "%s %d", &found, &value); n == 2 && found == name {
			return value
		}
	}
	b.t.Fatalf("there is no counter %s", name)
	return 0
}
