package scale

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"runtime/pprof"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

// HostCommand is what the runner sends to a host: a daemon to start, or the name of one to stop.
type HostCommand struct {
	Start *daemonconfig.Config `json:"start,omitempty"`
	Stop  string               `json:"stop,omitempty"`
}

// HostEvent is what a host sends back when a daemon has ended.
type HostEvent struct {
	Ended string `json:"ended"`
	Why   string `json:"why,omitempty"`
}

// Host runs hollow daemons: the daemon's own code, many in one process, with no clients. It ends when the runner's
// commands do. Where profile names a file, what takes its processor time is written there at the end.
func Host(commands io.Reader, events io.Writer, profile string) error {
	if profile != "" {
		file, err := os.Create(profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	log.SetHandler(discard.New())
	h := &host{daemons: map[string]hostedDaemon{}, events: json.NewEncoder(events)}
	decoder := json.NewDecoder(commands)
	for {
		var command HostCommand
		if err := decoder.Decode(&command); err != nil {
			h.stopAll()
			if errors.Is(err, io.EOF) {
				// Nobody waits for hollow daemons to drain.
				return nil
			}
			return err
		}
		if command.Stop != "" {
			h.stop(command.Stop)
		}
		if command.Start != nil {
			h.start(*command.Start)
		}
	}
}

// hostedDaemon holds the channels that stop a daemon of a host.
type hostedDaemon struct{ stop, hurry chan struct{} }

func (d hostedDaemon) end() {
	close(d.stop)
	close(d.hurry)
}

// host is the state of Host. The mutex guards all of it.
type host struct {
	mutex   sync.Mutex
	daemons map[string]hostedDaemon
	events  *json.Encoder
}

func (h *host) stopAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, one := range h.daemons {
		one.end()
	}
}

func (h *host) stop(name string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if one, known := h.daemons[name]; known {
		delete(h.daemons, name)
		one.end()
	}
}

func (h *host) start(settings daemonconfig.Config) {
	one := hostedDaemon{make(chan struct{}), make(chan struct{})}
	h.mutex.Lock()
	h.daemons[settings.Name] = one
	h.mutex.Unlock()
	go func() {
		event := HostEvent{Ended: settings.Name}
		if err := daemon.New(settings, "hollow", log.Log).Run(one.stop, one.hurry); err != nil {
			event.Why = err.Error()
		}
		h.mutex.Lock()
		defer h.mutex.Unlock()
		if h.daemons[settings.Name] == one {
			delete(h.daemons, settings.Name)
		}
		_ = h.events.Encode(event)
	}()
}
