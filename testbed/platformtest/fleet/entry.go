package fleet

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// Entry assigns new connections to edge machines that report ready, the client's zone first.
type Entry struct {
	fleet  *Fleet
	client *http.Client
	// interval is the time between readiness checks of a machine.
	interval time.Duration

	mutex  sync.Mutex
	missed map[*Machine]int
	done   sync.WaitGroup
}

// NewEntry returns an entry without readiness checks; Watch starts them.
func NewEntry(f *Fleet, every time.Duration) *Entry {
	return &Entry{fleet: f, interval: every, missed: map[*Machine]int{}, client: &http.Client{Timeout: every, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Watch checks the readiness of every machine until ctx ends.
func (e *Entry) Watch(ctx context.Context) {
	for _, m := range e.fleet.OfClass(Edge) {
		// No machine is eligible before its first positive check.
		e.mutex.Lock()
		e.missed[m] = 2
		e.mutex.Unlock()
		e.done.Add(1)
		go func() {
			defer e.done.Done()
			tick := time.NewTicker(e.interval)
			defer tick.Stop()
			for {
				e.check(ctx, m)
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		}()
	}
}

// Ready asks one machine for its readiness.
func (e *Entry) Ready(ctx context.Context, m *Machine) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Readiness()+protocol.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *Entry) check(ctx context.Context, m *Machine) {
	ready := e.Ready(ctx, m)
	if ctx.Err() != nil {
		return
	}
	recorder := e.fleet.Plan.Recorder
	recorder.Record(func(h *history.History) {
		h.ReadinessChecks = append(h.ReadinessChecks, history.ReadinessCheck{At: recorder.Now(), Machine: m.Name, Ready: ready})
	})
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ready {
		e.missed[m] = 0
	} else {
		e.missed[m]++
	}
}

// Eligible says whether a machine gets new connections.
func (e *Entry) Eligible(m *Machine) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.missed[m] < 2
}

// Pick picks a machine for a client's new connection; the client's next attempt gets another one.
func (e *Entry) Pick(name string, attempt int, zone string) (client.Daemon, bool) {
	zones := append([]string{zone}, e.fleet.Plan.Zones...)
	for _, near := range zones {
		var here, in []*Machine
		for _, m := range e.fleet.OfClass(Edge) {
			if m.Zone != near {
				continue
			}
			here = append(here, m)
			if e.Eligible(m) {
				in = append(in, m)
			}
		}
		if len(in) == 0 {
			continue
		}
		if 2*len(in) < len(here) {
			in = here
		}
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(name))
		m := in[(int(hash.Sum32()&0x7fffffff)+attempt)%len(in)]
		return client.Daemon{Name: m.Name, Address: m.Front()}, true
	}
	return client.Daemon{}, false
}
