// Package fleet runs a deployment of the product as processes on one machine: daemons, simulated engines, and links
// between daemons that can be partitioned.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/deployment"
	"github.com/cresspond/cresspond/testbed/platform"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/platformapi"
)

// Process is one process of the fleet.
type Process struct {
	Name       string
	Zone       ident.ZoneID
	Address    string
	PeerListen string
	// PeerAddress is where other daemons reach it: the testbed's proxy.
	PeerAddress string
	Journal     string
	Core        bool
	// build is the index of the build that a daemon runs from its next start on.
	build int
	args  []string
	log   string

	mutex sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{}
	code  int
}

// Fleet is a deployment that runs.
type Fleet struct {
	Deployment deployment.Deployment
	Folder     string
	Daemons    []*Process
	Engines    []*Process
	Platform   *platform.Platform
	Links      *Links
	builds     [2]string
	seeds      []string
	moved      int
	self       string
	draining   map[string]bool
	removed    map[string]bool
	mutex      sync.Mutex
	client     *http.Client
}

// New lays a fleet out in a folder. Its daemons run the two builds of cresspondd in turn, which may be the same; self
// is this program.
func New(d deployment.Deployment, folder string, builds [2]string, self string) (*Fleet, error) {
	f := &Fleet{Links: NewLinks(), Deployment: d, Folder: folder, builds: builds, self: self, draining: map[string]bool{}, removed: map[string]bool{},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.Platform = platform.New(listener)
	var seeds []string
	number := 0
	add := func(name string, zone ident.ZoneID, core bool) error {
		number++
		listen, err := freeAddress(number)
		if err != nil {
			return err
		}
		peer, err := freeAddress(number)
		if err != nil {
			return err
		}
		p := &Process{Name: name, Zone: zone, Address: listen, PeerListen: peer, Core: core, build: len(f.Daemons) % len(f.builds), log: filepath.Join(folder, name+".log")}
		if p.PeerAddress, err = f.link(p, number); err != nil {
			return err
		}
		if core {
			seeds = append(seeds, p.PeerAddress)
		}
		f.Daemons = append(f.Daemons, p)
		return nil
	}
	for i := range d.Cores {
		if err := add(fmt.Sprintf("core-%d", i), d.Zones[i%len(d.Zones)], true); err != nil {
			return nil, err
		}
	}
	for i, zone := range d.EdgeZones {
		if err := add(fmt.Sprintf("edge-%d", i), d.Zones[zone], false); err != nil {
			return nil, err
		}
	}
	f.seeds = seeds
	for _, p := range f.Daemons {
		if err := f.writeSettings(p); err != nil {
			return nil, err
		}
	}
	for i := range d.Engines {
		number++
		address, err := freeAddress(number)
		if err != nil {
			return nil, err
		}
		name := string(deployment.EngineID(i))
		p := &Process{Name: name, Zone: d.EngineZone(i), Address: address, Journal: filepath.Join(folder, name+".journal"), log: filepath.Join(folder, name+".log")}
		p.args = []string{self, "engine", "--deployment", d.Name, "--id", name, "--listen", address, "--journal", p.Journal}
		f.Engines = append(f.Engines, p)
	}
	return f, nil
}

// writeSettings writes a daemon's settings.
func (f *Fleet) writeSettings(p *Process) error {
	settings := daemonconfig.Default()
	settings.Name, settings.Zone, settings.Listen, settings.PeerListen = p.Name, p.Zone, p.Address, p.PeerListen
	settings.PeerAddress = p.PeerAddress
	settings.Seeds, settings.Platform = f.seeds, f.Platform.Address()
	settings.Roles = []daemonconfig.Role{daemonconfig.Route}
	if p.Core {
		settings.Roles = []daemonconfig.Role{daemonconfig.Control, daemonconfig.Placement}
		settings.DataDir = f.DataOf(p)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.Folder, p.Name+".json")
	p.args = []string{f.builds[p.build], "--config", path}
	return os.WriteFile(path, data, 0o600)
}

// SwapBuild gives a stopped daemon the other build for its next start.
func (f *Fleet) SwapBuild(p *Process) {
	p.build = 1 - p.build
	p.args[0] = f.builds[p.build]
}

// Build is the path of the program that a daemon runs from its next start on.
func (f *Fleet) Build(p *Process) string { return f.builds[p.build] }

// Wipe empties a core daemon's data folder, as a replaced or lost disk would.
func (f *Fleet) Wipe(p *Process) error { return os.RemoveAll(f.DataOf(p)) }

// Move gives a stopped daemon new addresses; nobody else's settings change.
func (f *Fleet) Move(p *Process) error {
	f.moved++
	var err error
	if p.Address, err = freeAddress(200 + f.moved); err != nil {
		return err
	}
	if p.PeerListen, err = freeAddress(200 + f.moved); err != nil {
		return err
	}
	if p.PeerAddress, err = f.link(p, 200+f.moved); err != nil {
		return err
	}
	return f.writeSettings(p)
}

// link sits between a daemon and all that others say to it.
func (f *Fleet) link(p *Process, number int) (string, error) {
	reached, err := freeAddress(number)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", reached)
	if err != nil {
		return "", err
	}
	go f.Links.Carry(listener, p.Name, p.PeerListen)
	return reached, nil
}

// Recover runs the operators' procedure for a lost majority on a stopped core daemon; survivor may be empty.
func (f *Fleet) Recover(p *Process, survivor string) ([]byte, error) {
	args := append([]string{}, p.args[1:]...)
	for _, edge := range f.Edges() {
		if edge.Running() {
			args = append(args, "--recover-from", edge.PeerAddress)
		}
	}
	if survivor != "" {
		args = append(args, "--survivor", survivor)
	}
	return exec.Command(p.args[0], args...).CombinedOutput()
}

// freeAddress finds a port on a loopback address of the process's own, so that no outgoing connection can be given it.
func freeAddress(number int) (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, number)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Start starts a process.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	// A runner that dies takes its fleet with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		p.mutex.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mutex.Unlock()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Wait waits for the process to end and gives its exit code.
func (p *Process) Wait() int {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done == nil {
		return 0
	}
	<-done
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.code
}

// Running says whether the process runs.
func (p *Process) Running() bool {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// DataOf is the data folder of a core daemon.
func (f *Fleet) DataOf(p *Process) string { return filepath.Join(f.Folder, p.Name+".data") }

// Start starts everything.
func (f *Fleet) Start() error {
	f.Publish()
	for _, p := range append(append([]*Process{}, f.Engines...), f.Daemons...) {
		if err := p.Start(); err != nil {
			return fmt.Errorf("%s cannot be started: %w", p.Name, err)
		}
	}
	return nil
}

// Publish writes the present engines to the platform's list.
func (f *Fleet) Publish() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	engines := []platformapi.Engine{}
	for _, p := range f.Engines {
		if !f.removed[p.Name] {
			engines = append(engines, platformapi.Engine{ID: ident.EngineID(p.Name), Address: p.Address, Zone: p.Zone, Draining: f.draining[p.Name]})
		}
	}
	f.Platform.Set(engines)
}

// MarkDraining marks an engine as draining in the platform's list.
func (f *Fleet) MarkDraining(p *Process) {
	f.mutex.Lock()
	f.draining[p.Name] = true
	f.mutex.Unlock()
	f.Publish()
}

// ClearDraining ends that mark.
func (f *Fleet) ClearDraining(p *Process) {
	f.mutex.Lock()
	delete(f.draining, p.Name)
	f.mutex.Unlock()
	f.Publish()
}

// Stop ends everything.
func (f *Fleet) Stop() {
	for _, p := range append(append([]*Process{}, f.Daemons...), f.Engines...) {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
}

// Edges lists the daemons that carry traffic.
func (f *Fleet) Edges() []*Process {
	var out []*Process
	for _, p := range f.Daemons {
		if !p.Core {
			out = append(out, p)
		}
	}
	return out
}

// Ready asks a daemon whether it is ready.
func (f *Fleet) Ready(p *Process) bool {
	response, err := f.client.Get("http://" + p.Address + operatorapi.PathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Status reads a daemon's status page.
func (f *Fleet) Status(p *Process) (operatorapi.Status, error) {
	var status operatorapi.Status
	_, err := f.Get(p, operatorapi.PathStatus, &status)
	return status, err
}

// Get reads a page of a daemon.
func (f *Fleet) Get(p *Process, path string, into any) ([]byte, error) {
	response, err := f.client.Get("http://" + p.Address + path)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return data, fmt.Errorf("%s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(data))
	}
	if into == nil {
		return data, nil
	}
	return data, json.Unmarshal(data, into)
}

// Post posts an operator's request to a daemon.
func (f *Fleet) Post(p *Process, path string, body, into any) (int, error) {
	data, err := json.Marshal(body)
	if propose, ok := body.(operatorapi.Propose); ok {
		data, err = propose.Encode()
	}
	if err != nil {
		return 0, err
	}
	response, err := f.client.Post("http://"+p.Address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return response.StatusCode, fmt.Errorf("%s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(answer))
	}
	if into == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(answer, into)
}

// TellEngine triggers an action of a simulated engine.
func (f *Fleet) TellEngine(p *Process, what string) error {
	response, err := f.client.Get("http://" + p.Address + "/stand-in/" + what)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Leader finds the daemon that leads the group.
func (f *Fleet) Leader() *Process {
	for _, p := range f.Daemons {
		if !p.Core || !p.Running() {
			continue
		}
		if status, err := f.Status(p); err == nil && status.Raft != nil && status.Raft.Role == "leader" {
			return p
		}
	}
	return nil
}
