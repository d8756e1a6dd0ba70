package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// Kind says how a daemon runs.
type Kind string

const (
	// Leader is the core daemon that leads, in a process of its own.
	Leader Kind = "leader"
	// Follower is any other daemon of the core.
	Follower Kind = "follower"
	// Edge is a routing daemon in a process of its own.
	Edge Kind = "edge"
	// Hollow is a routing daemon that shares a process with others.
	Hollow Kind = "hollow"
)

// member is one daemon.
type member struct {
	name string
	// address serves pages for looking, control operators and engines where it is of the core.
	address, control string
	settings         daemonconfig.Config
	core             bool
	process          *process
}

// process is one operating system process: a real daemon, or a host of hollow ones.
type process struct {
	members []*member
	host    bool
	cmd     *exec.Cmd
	// up says that it was started.
	up       atomic.Bool
	commands io.WriteCloser
	mutex    sync.Mutex
	// ended are the hollow daemons that ended of themselves or on the runner's command.
	ended   map[string]string
	changed chan struct{}
}

// oneCore is how many processors each process of the fleet may use at once.
const oneCore = 1

// addresses gives out loopback addresses, an IP number for each, so that no outgoing connection can be given one.
type addresses struct{ base, next, first int }

func (a *addresses) ip() string {
	a.next++
	return fmt.Sprintf("127.%d.%d.%d", a.base, a.next/250, 1+a.next%250)
}

// ports finds the first of a few ports in a row that are free on the first address, and so on the others, since
// no two runs share their numbers.
func (a *addresses) ports() (int, error) {
	const from, to, each = 21000, 31000, 10
	for a.first = from + os.Getpid()%500*each; a.first < to; a.first += each {
		listener, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.%d.0.1", a.base), strconv.Itoa(a.first)))
		if err == nil {
			return a.first, listener.Close()
		}
	}
	return 0, fmt.Errorf("no ports are free")
}

// free is an address of its own, at the port of clients.
func (a *addresses) free() string { return net.JoinHostPort(a.ip(), strconv.Itoa(a.first+portFront)) }

// fleet is all processes of one step.
type fleet struct {
	folder  string
	program string
	self    string
	// deployed says that the processes of their own are the users' platform's program.
	deployed bool
	// profiles is where hosts write what takes their processor time; empty, nowhere.
	profiles  string
	beat      time.Duration
	addresses *addresses
	members   []*member
	processes []*process
	// started is how many members were started, the first of the list.
	started int
	client  *http.Client
}

// The ports of every daemon, as far behind the run's first one. They are the same on all addresses.
const (
	portFront = iota
	portReady
	portControl
	portFellow
)

func layFleet(size Size, folder string, o Options, base int) (*fleet, error) {
	f := &fleet{folder: folder, program: o.Program, self: o.Self, deployed: o.Deployed, profiles: o.Profiles, beat: o.Beat, addresses: &addresses{base: base},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	first, err := f.addresses.ports()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range size.Daemons {
		m := &member{core: i < size.Core, name: fmt.Sprintf("edge-%d", i)}
		if m.core {
			m.name = fmt.Sprintf("core-%d", i)
		}
		ip := f.addresses.ip()
		at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(first+port)) }
		s := daemonconfig.Default()
		s.Name, s.Zone, s.Log, s.AttemptScope, s.OnFault = m.name, zoneName(i%size.Zones), "warn", daemonconfig.LocalAttempts, daemonconfig.RetryOnFault
		s.Roles = []daemonconfig.Role{daemonconfig.Route}
		s.Bounds.HeartbeatMs, s.DirectApply = o.Beat.Milliseconds(), true
		s.Listen, s.PeerListen = at(portFront), at(portFellow)
		m.address = s.Listen
		if m.core {
			s.Roles = []daemonconfig.Role{daemonconfig.Control, daemonconfig.Placement}
			s.DataDir = filepath.Join(folder, m.name+".data")
			seeds = append(seeds, s.PeerListen)
			m.control = s.Listen
			if f.deployed {
				m.control, m.address = at(portControl), at(portControl)
			}
		} else if i < size.Core+realEdges {
			// The address of clients may carry their requests alone.
			s.ReadyListen = at(portReady)
			m.address = s.ReadyListen
		}
		m.settings = s
		f.members = append(f.members, m)
	}
	var host *process
	for i, m := range f.members {
		m.settings.Seeds = seeds
		if i < size.Core+realEdges {
			p := &process{members: []*member{m}}
			m.process = p
			f.processes = append(f.processes, p)
			continue
		}
		if host == nil || len(host.members) == perHost {
			host = &process{host: true, ended: map[string]string{}, changed: make(chan struct{})}
			f.processes = append(f.processes, host)
		}
		host.members = append(host.members, m)
		m.process = host
	}
	return f, nil
}

func (p *process) command(command HostCommand) error {
	return json.NewEncoder(p.commands).Encode(command)
}

func (p *process) listen(events io.Reader) {
	lines := bufio.NewScanner(events)
	for lines.Scan() {
		var event HostEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		p.mutex.Lock()
		p.ended[event.Ended] = event.Why
		close(p.changed)
		p.changed = make(chan struct{})
		p.mutex.Unlock()
	}
}

// restart stops a hollow daemon and starts the next life of it.
func (p *process) restart(m *member, within time.Duration) error {
	p.mutex.Lock()
	delete(p.ended, m.name)
	p.mutex.Unlock()
	if err := p.command(HostCommand{Stop: m.name}); err != nil {
		return err
	}
	limit := time.After(within)
	for {
		p.mutex.Lock()
		_, ended := p.ended[m.name]
		changed := p.changed
		p.mutex.Unlock()
		if ended {
			return p.command(HostCommand{Start: &m.settings})
		}
		select {
		case <-changed:
		case <-limit:
			return fmt.Errorf("%s did not end", m.name)
		}
	}
}

// stop ends the processes that this fleet started.
func (f *fleet) stop() {
	for _, p := range f.running() {
		if p.host && f.profiles != "" {
			// Hosts end with their commands, and then write what they have.
			_ = p.commands.Close()
			continue
		}
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.running() {
		_ = p.cmd.Wait()
	}
}

// running lists the processes that were started.
func (f *fleet) running() []*process {
	var out []*process
	for _, p := range f.processes {
		if p.up.Load() {
			out = append(out, p)
		}
	}
	return out
}

// dead says which process or hollow daemon has ended of itself; it is empty while none has.
func (f *fleet) dead() string {
	for _, p := range f.running() {
		if _, resident := glance(p.cmd.Process.Pid); resident == 0 {
			names := make([]string, 0, len(p.members))
			for _, m := range p.members {
				names = append(names, m.name)
			}
			return strings.Join(names, ", ")
		}
		p.mutex.Lock()
		for name, why := range p.ended {
			if why != "" {
				p.mutex.Unlock()
				return name + ": " + why
			}
		}
		p.mutex.Unlock()
	}
	return ""
}

func (f *fleet) get(m *member, path string, into any) (int, error) {
	response, err := f.client.Get("http://" + m.address + path)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if text, ok := into.(*string); ok {
		*text = string(data)
		return response.StatusCode, nil
	}
	if into == nil || response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(data, into)
}

// call makes one call at the first member of the core.
func (f *fleet) call(method, path string, head map[string]string, body []byte) (int, error) {
	request, err := http.NewRequest(method, "http://"+f.members[0].control+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	for name, value := range head {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= 300 {
		err = fmt.Errorf("%s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(answer))
	}
	return response.StatusCode, err
}

// leader is the member that leads the group; nil while none does.
func (f *fleet) leader() *member {
	for _, m := range f.members {
		if !m.core {
			break
		}
		var status operatorapi.Status
		if _, err := f.get(m, operatorapi.PathStatus, &status); err == nil && status.Raft != nil && status.Raft.Role == "leader" {
			return m
		}
	}
	return nil
}

// forAll does something for all members, some at once.
func (f *fleet) forAll(do func(at int, m *member)) {
	gate := make(chan struct{}, 16)
	var wait sync.WaitGroup
	for at, m := range f.members {
		wait.Add(1)
		gate <- struct{}{}
		go func() {
			defer wait.Done()
			do(at, m)
			<-gate
		}()
	}
	wait.Wait()
}
