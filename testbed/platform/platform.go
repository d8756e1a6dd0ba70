// Package platform simulates the platform: it serves a list of engines that lags behind the truth.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cresspond/cresspond/wire/platformapi"
)

// Platform is a simulated platform.
type Platform struct {
	mutex   sync.Mutex
	list    platformapi.List
	address string
	// fault is what is wrong with the list: "" nothing, "gone", "empty", "junk" or "strangers".
	fault string
	// asked and set number the lists, so that of two set in one breath the later one stays.
	asked, set uint64
}

// New starts serving on a listener.
func New(listener net.Listener) *Platform {
	p := &Platform{address: listener.Addr().String(), list: platformapi.List{Engines: []platformapi.Engine{}}}
	mux := http.NewServeMux()
	mux.HandleFunc(platformapi.PathEngines, func(w http.ResponseWriter, _ *http.Request) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		list := p.list
		switch p.fault {
		case "gone":
			w.WriteHeader(http.StatusBadGateway)
			return
		case "junk":
			_, _ = w.Write([]byte(`{"engines":[{"id":`))
			return
		case "empty":
			list = platformapi.List{Engines: []platformapi.Engine{}}
		case "strangers":
			// Rows without an id or an address, and an engine that no bundle names.
			list.Engines = append([]platformapi.Engine{{ID: "", Address: "127.0.0.1:1"}, {ID: "engine-0"}, {ID: "stranger", Address: "127.0.0.1:1", Zone: "nowhere"}}, list.Engines...)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return p
}

// Address is where the list is read.
func (p *Platform) Address() string { return p.address }

// SetFault sets the fault of the list; empty is none.
func (p *Platform) SetFault(kind string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = kind
}

// Lag is how long the list lags behind.
const Lag = 300 * time.Millisecond

// Set replaces the list after the lag.
func (p *Platform) Set(engines []platformapi.Engine) {
	p.mutex.Lock()
	p.asked++
	number := p.asked
	p.mutex.Unlock()
	time.AfterFunc(Lag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if number > p.set {
			p.set, p.list = number, platformapi.List{Engines: engines}
		}
	})
}
