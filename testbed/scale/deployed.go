package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// boot is the users' platform's settings file, as far as a scale run needs it.
type boot struct {
	NodeName     string             `toml:"node-name"`
	Serves       []string           `toml:"serves"`
	IP           string             `toml:"ip"`
	Zone         string             `toml:"zone"`
	PortRange    []int              `toml:"port-range"`
	Seeds        []string           `toml:"seeds"`
	Bootstrap    bool               `toml:"bootstrap"`
	DataDir      string             `toml:"data-dir,omitempty"`
	BeatPeriodMs int64              `toml:"beat-period-ms"`
	BindAddrs    map[string]string  `toml:"bind-addrs"`
	Limits       map[string]float64 `toml:"limits"`
	Bounds       map[string]float64 `toml:"bounds"`
}

// bootFile writes the settings of a member; seeds are told as operators see them.
func bootFile(m *member, all []*member) ([]byte, error) {
	ip, front, err := net.SplitHostPort(m.settings.Listen)
	if err != nil {
		return nil, err
	}
	first, err := strconv.Atoi(front)
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(first+port)) }
	out := boot{NodeName: m.name, Serves: []string{"edge"}, IP: ip, Zone: string(m.settings.Zone), PortRange: []int{first + portFellow, first + portFellow + 5}, Bootstrap: true,
		DataDir: m.settings.DataDir, BeatPeriodMs: m.settings.Bounds.HeartbeatMs, BindAddrs: map[string]string{"front": at(portFront), "readiness": at(portReady)},
		Limits: map[string]float64{"cpu-share": 0.4, "cores": 1, "memory-mb": 284}, Bounds: map[string]float64{"lease-ms": 3000}}
	if m.core {
		out.Serves, out.BindAddrs = []string{"control"}, map[string]string{"control": at(portControl)}
	}
	for _, other := range all {
		if other.core {
			out.Seeds = append(out.Seeds, other.control)
		}
	}
	return toml.Marshal(out)
}

// configuration is the bundle of a size as the users' operator sends it.
func configuration(size Size, revision uint64) []byte {
	c := protocol.Config{Generation: revision, Limits: protocol.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
	for i := range size.Paths {
		c.Routes = append(c.Routes, protocol.Route{Label: fmt.Sprintf("path-%06d", i), Authority: fmt.Sprintf("host-%d.example", i%97), PathPrefix: fmt.Sprintf("/p%06d/", i),
			Class: protocol.Streaming, DeadlineMs: 10000 + int64(revision%10), TargetMs: 1300, Urgency: i % 3, Backend: poolName, Tries: 2, Affine: true, Resumable: i%2 == 0, GapTargetMs: 400})
	}
	engine := &protocol.EngineID{Slots: hollowSlots, KVCapacity: 120000, KVTokenBytes: 131072, LinkMbps: 1000, Stride: 2, WeightsMb: 83000, AdapterCapacity: 8, LoadsPerS: 2}
	for i := range size.Models {
		engine.Models = append(engine.Models, protocol.CatalogModel{Label: modelName(i), WeightsMb: 20000, LoadTimeS: 2, Adapters: size.Adapters / size.Models, AdapterSizeMb: 40})
	}
	c.Backends = []protocol.Backend{{Label: poolName, HealthPath: "/health", MaxConns: 500, Protocol: "h1", Engine: engine}}
	return c.Encode()
}

const hollowSlots = 96

// said is what an engine says of itself when it beats.
func (e *hollowEngine) said(deployed bool) any {
	if !deployed {
		return e.body
	}
	return protocol.Registration{Backend: poolName, Address: e.address, Zone: string(e.body.Zone), Generation: e.body.Software, Slots: e.body.Slots, State: protocol.StateReady,
		Phase: e.body.Phase, Models: e.holdings.list(), CallSeq: e.body.CallSeq}
}

// holdings is what a deployed engine holds; an order is done at once.
type holdings struct {
	mutex  sync.Mutex
	models []protocol.Holding
	taken  uint64
	active int
}

func (h *holdings) list() []protocol.Holding {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.models)
}

func (h *holdings) order(o protocol.Order) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if o.Expected != nil && *o.Expected != h.taken {
		return fasthttp.StatusConflict
	}
	h.taken++
	models := slices.Clone(h.models)
	at := slices.IndexFunc(models, func(one protocol.Holding) bool { return one.Label == o.Model })
	switch {
	case o.Adapter == "" && o.Operation == protocol.Load && at < 0:
		models = append(models, protocol.Holding{Label: o.Model, Generation: 1, Adapters: []string{}})
	case o.Adapter == "" && o.Operation == protocol.Evict && at >= 0:
		models = slices.Delete(models, at, at+1)
	case at >= 0 && o.Operation == protocol.Load:
		models[at].Adapters = append(slices.Clone(models[at].Adapters), o.Adapter)
	case at >= 0:
		models[at].Adapters = slices.DeleteFunc(slices.Clone(models[at].Adapters), func(one string) bool { return one == o.Adapter })
	}
	h.models = models
	return fasthttp.StatusAccepted
}

func (h *holdings) report() protocol.Report {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return protocol.Report{Phase: "colocated", Models: h.models, CallSeq: h.taken, Active: h.active, KVInUse: int64(h.active) * 1000, KVSize: 120000, ServedModels: len(h.models)}
}

// answer has an engine answer at its address until ctx ends.
func (h *hollowEngines) answer(ctx context.Context, e *hollowEngine) error {
	for _, held := range e.body.Models {
		e.holdings.models = append(e.holdings.models, protocol.Holding{Label: held.Model, Generation: held.Generation, Adapters: held.Adapters})
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case protocol.PathReport:
			h.polled.Add(1)
			data, err := json.Marshal(e.holdings.report())
			if err != nil {
				panic("broken invariant: a report cannot be encoded: " + err.Error())
			}
			ctx.SetContentType("application/json")
			ctx.SetBody(data)
		case protocol.PathOrder:
			h.ordered.Add(1)
			var order protocol.Order
			if json.Unmarshal(ctx.PostBody(), &order) != nil {
				ctx.SetStatusCode(fasthttp.StatusBadRequest)
				return
			}
			ctx.SetStatusCode(e.holdings.order(order))
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		ctx.Response.Header.Set(protocol.Instance, string(e.id))
		if attempt := ctx.Request.Header.Peek(protocol.Attempt); len(attempt) > 0 {
			// Every engine answer carries back the id that it was asked under.
			ctx.Response.Header.SetBytesV(protocol.Attempt, attempt)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	if h.moves > 0 {
		go h.move(ctx, e)
	}
	return nil
}

// move gives an engine another load, again and again.
func (h *hollowEngines) move(ctx context.Context, e *hollowEngine) {
	random := rand.New(rand.NewPCG(uint64(e.turn), 1))
	ticker := time.NewTicker(h.moves)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.holdings.mutex.Lock()
		e.holdings.active = random.IntN(hollowSlots)
		e.holdings.mutex.Unlock()
	}
}
