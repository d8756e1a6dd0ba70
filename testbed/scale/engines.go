package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// poolName is the pool of all hollow engines.
const poolName = "pool"

// hollowEngines register and beat, each from an address of its own and on a new connection, as engines that
// know nothing of the daemons do. They serve nothing.
type hollowEngines struct {
	control []string
	beat    time.Duration
	models  int
	// deployed engines speak as on the users' platform, and answer when they are asked for a report or given an order.
	deployed bool
	// moves is how often their load is another.
	moves time.Duration
	// Acknowledged and Failed count beats.
	Acknowledged, Failed atomic.Uint64
	// polled counts reports asked for, ordered counts orders.
	polled, ordered atomic.Uint64
	all             []*hollowEngine
	running         sync.WaitGroup
}

type hollowEngine struct {
	id       ident.EngineID
	address  string
	body     operatorapi.Registration
	client   *http.Client
	end      context.CancelFunc
	turn     int
	holdings holdings
	// ended is closed when it beats no more.
	ended chan struct{}
}

// grow starts engines until there are so many.
func (h *hollowEngines) grow(ctx context.Context, count, zones int, addresses *addresses) error {
	for len(h.all) < count {
		number := len(h.all)
		address := addresses.free()
		host, _, _ := net.SplitHostPort(address)
		e := &hollowEngine{id: ident.EngineID(fmt.Sprintf("hollow-%d", number)), address: address, turn: number, ended: make(chan struct{})}
		e.body = operatorapi.Registration{Pool: poolName, Address: address, Zone: zoneName(number % zones), Software: "hollow", Slots: 96, Phase: "colocated"}
		// Engines hold a few models each, with some adapters.
		for at := range 3 {
			held := operatorapi.LoadedModel{Model: modelName((number*3 + at) % h.models), Generation: 1, Adapters: []string{}}
			for adapter := range 2 {
				held.Adapters = append(held.Adapters, fmt.Sprintf("a%d", 1+(number+adapter)%50))
			}
			e.body.Models = append(e.body.Models, held)
		}
		dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
		e.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
		living, end := context.WithCancel(ctx)
		e.end = end
		if h.deployed {
			if err := h.answer(living, e); err != nil {
				end()
				return err
			}
		}
		h.all = append(h.all, e)
		h.running.Add(1)
		// They start at moments spread over a beat.
		after := h.beat * time.Duration(number%997) / 997
		go func() {
			defer h.running.Done()
			defer close(e.ended)
			h.run(living, e, after)
		}()
	}
	return nil
}

func (h *hollowEngines) run(ctx context.Context, e *hollowEngine, after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(h.beat)
		e.body.CallSeq++
		if status, err := h.call(ctx, e, http.MethodPut, e.said(h.deployed)); err == nil && status < 300 {
			h.Acknowledged.Add(1)
			continue
		}
		if ctx.Err() == nil {
			h.Failed.Add(1)
			e.turn++
		}
	}
}

func (h *hollowEngines) call(ctx context.Context, e *hollowEngine, method string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	path := operatorapi.PathEngines + "/"
	if h.deployed {
		path = protocol.PathEngines
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.control[e.turn%len(h.control)]+path+string(e.id), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// leave ends the last engine, and gives how long its acknowledgement took.
func (h *hollowEngines) leave(ctx context.Context) (ident.EngineID, time.Duration, error) {
	last := h.all[len(h.all)-1]
	h.all = h.all[:len(h.all)-1]
	last.end()
	<-last.ended
	began := time.Now()
	bounded, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	status, err := h.call(bounded, last, http.MethodDelete, struct{}{})
	if err == nil && status >= 300 {
		err = fmt.Errorf("a leaving was answered with %d", status)
	}
	return last.id, time.Since(began), err
}

func (h *hollowEngines) stop() {
	for _, e := range h.all {
		e.end()
	}
	h.running.Wait()
}
