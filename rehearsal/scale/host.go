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

	"github.com/cresspond/cresspond/process/config"
	"github.com/cresspond/cresspond/process/daemon"
)

// Word is what the runner tells a host: a daemon to start, or the name of one to stop.
type Word struct {
	Start *config.Config `json:"start,omitempty"`
	Stop  string         `json:"stop,omitempty"`
}

// Echo is what a host tells back when a daemon has ended.
type Echo struct {
	Ended string `json:"ended"`
	Why   string `json:"why,omitempty"`
}

// Host runs hollow daemons: the daemon's own code, many in one process, with no clients. It ends when the
// runner's words do.
// Where profile names a file, what takes its processor time is written there at the end.
func Host(words io.Reader, echoes io.Writer, profile string) error {
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
	type running struct{ stop, hurry chan struct{} }
	var mutex sync.Mutex
	all := map[string]running{}
	say := json.NewEncoder(echoes)
	decoder := json.NewDecoder(words)
	var ends sync.WaitGroup
	for {
		var word Word
		if err := decoder.Decode(&word); err != nil {
			mutex.Lock()
			for _, one := range all {
				close(one.stop)
				close(one.hurry)
			}
			mutex.Unlock()
			if errors.Is(err, io.EOF) {
				// Nobody waits for hollow daemons to drain.
				return nil
			}
			return err
		}
		if word.Stop != "" {
			mutex.Lock()
			if one, known := all[word.Stop]; known {
				delete(all, word.Stop)
				close(one.stop)
				close(one.hurry)
			}
			mutex.Unlock()
		}
		if word.Start == nil {
			continue
		}
		one := running{make(chan struct{}), make(chan struct{})}
		mutex.Lock()
		all[word.Start.Name] = one
		mutex.Unlock()
		settings := *word.Start
		ends.Add(1)
		go func() {
			defer ends.Done()
			echo := Echo{Ended: settings.Name}
			if err := daemon.New(settings, "hollow", log.Log).Run(one.stop, one.hurry); err != nil {
				echo.Why = err.Error()
			}
			mutex.Lock()
			defer mutex.Unlock()
			if all[settings.Name] == one {
				delete(all, settings.Name)
			}
			_ = say.Encode(echo)
		}()
	}
}
