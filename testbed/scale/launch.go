package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// start starts the daemons that are processes of their own, or the hollow ones, these at most so many a second;
// a pace of zero starts all at once.
func (f *fleet) start(hosts bool, pace float64, pause func(time.Duration) error) error {
	for i, p := range f.processes {
		if p.host != hosts {
			continue
		}
		if err := f.startProcess(i, p); err != nil {
			return err
		}
		if !p.host {
			continue
		}
		for _, m := range p.members {
			if err := p.command(HostCommand{Start: &m.settings}); err != nil {
				return err
			}
			if pace <= 0 {
				continue
			}
			if err := pause(time.Duration(float64(time.Second) / pace)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) startProcess(number int, p *process) error {
	program, name, args, err := f.command(number, p)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = log
	// The deployments' machines show one core; with more, Go's scheduler looks for work on all of them at
	// each wake-up, and an idle daemon costs several times as much.
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", oneCore))
	// A runner that dies takes its fleet with it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.host {
		if p.commands, err = p.cmd.StdinPipe(); err != nil {
			return err
		}
		events, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		go p.listen(events)
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.up.Store(true)
	f.started += len(p.members)
	return nil
}

// command is the program of a process, the name of its log and its arguments.
func (f *fleet) command(number int, p *process) (program, name string, args []string, err error) {
	if !p.host {
		m := p.members[0]
		path, err := f.settle(m)
		return f.program, m.name, []string{"--config", path}, err
	}
	args = []string{"hollow"}
	if f.profiles != "" {
		args = append(args, "--profile", filepath.Join(f.profiles, fmt.Sprintf("%d-daemons-host-%d.pprof", len(f.members), number)))
	}
	return f.self, fmt.Sprintf("host-%d", number), args, nil
}

// settle writes the settings of a daemon that is a process of its own.
func (f *fleet) settle(m *member) (path string, err error) {
	path = filepath.Join(f.folder, m.name+".json")
	data, err := json.Marshal(m.settings)
	if f.deployed {
		path = filepath.Join(f.folder, m.name+".toml")
		data, err = bootFile(m, f.members)
	}
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o600)
}
