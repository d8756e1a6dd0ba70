// Package engine simulates an engine: it loads models at a configured speed, runs requests in slots, reports its state with
// a lag, and writes a journal of all it does.
package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cresspond/cresspond/testbed/journal"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// Config configures a simulated engine.
type Config struct {
	ID           string
	Capacity     int64
	Sizes        map[string]int64
	Slots        int
	AdapterSlots int
	LoadTime     time.Duration
	AdapterTime  time.Duration
	ChunkTime    time.Duration
	ReportLag    time.Duration
	// Fault makes it break the protocol: "gap", "repeat", "foreign", "early", "endless", "stall", "junk-report", "stale-report", "hang", "drop".
	Fault string
	// FaultFrom is how many requests are served before the fault begins.
	FaultFrom int
}

// Engine is one simulated engine.
type Engine struct {
	config  Config
	journal *journal.Writer

	mutex   sync.Mutex
	callSeq uint64
	models  map[string]*model
	busy    int
	leaving bool
	runs    int
	arrived int
	report  engineapi.Report
}

type model struct {
	state    engineapi.ModelState
	adapters []string
	pending  []string
}

// New returns an engine; its journal begins.
func New(config Config, writer *journal.Writer) *Engine {
	e := &Engine{config: config, journal: writer, models: map[string]*model{}, report: engineapi.Report{Models: []engineapi.ModelReport{}}}
	writer.Write(journal.Line{Kind: journal.Start})
	return e
}

// SetFault sets the fault from now on; empty is none.
func (e *Engine) SetFault(fault string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.config.Fault, e.config.FaultFrom = fault, 0
}

// Serve serves until the listener closes.
func (e *Engine) Serve(listener net.Listener) error {
	go func() {
		for range time.Tick(e.config.ReportLag) {
			e.mutex.Lock()
			if e.config.Fault != "stale-report" {
				e.report = e.makeReport()
			}
			e.mutex.Unlock()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathReport, e.handleReport)
	mux.HandleFunc(engineapi.PathOrder, e.handleOrder)
	mux.HandleFunc(engineapi.PathGenerate, e.handleGenerate)
	mux.HandleFunc("/stand-in/leave", func(w http.ResponseWriter, _ *http.Request) {
		e.mutex.Lock()
		e.leaving = true
		e.mutex.Unlock()
		e.journal.Write(journal.Line{Kind: journal.Leaving})
	})
	mux.HandleFunc("/stand-in/fault", func(_ http.ResponseWriter, r *http.Request) { e.SetFault(r.URL.Query().Get("kind")) })
	return http.Serve(listener, mux)
}

func (e *Engine) makeReport() engineapi.Report {
	report := engineapi.Report{CallSeq: e.callSeq, Saturated: e.busy >= e.config.Slots, Busy: e.busy, Draining: e.leaving, Models: []engineapi.ModelReport{}}
	for name, loaded := range e.models {
		report.Models = append(report.Models, engineapi.ModelReport{Model: name, State: loaded.state, Adapters: slices.Clone(loaded.adapters)})
	}
	slices.SortFunc(report.Models, func(a, b engineapi.ModelReport) int { return strings.Compare(a.Model, b.Model) })
	return report
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	report, fault := e.report, e.config.Fault == "junk-report" && e.arrived >= e.config.FaultFrom
	e.mutex.Unlock()
	if fault {
		_, _ = io.WriteString(w, `{"call-seq":-3,"models":[{"model":`)
		return
	}
	answer(w, http.StatusOK, report)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		answer(w, http.StatusBadRequest, engineapi.OrderAnswer{Reason: "not an order"})
		return
	}
	e.mutex.Lock()
	e.callSeq++
	reason := e.take(order)
	e.mutex.Unlock()
	line := journal.Line{Kind: journal.Order, Model: order.Model, Adapter: order.Adapter, Order: string(order.Kind),
		Stamp: strconv.FormatInt(int64(order.Stamp), 10), Claim: uint64(order.Claim), Reason: reason}
	if reason != "" {
		line.Kind = journal.OrderRefused
		e.journal.Write(line)
		answer(w, http.StatusConflict, engineapi.OrderAnswer{Reason: reason})
		return
	}
	e.journal.Write(line)
	answer(w, http.StatusAccepted, engineapi.OrderAnswer{Taken: true})
}

// ChunksFor is how many chunks an attempt's answer has; it follows from its id, so that the checker knows it too.
func ChunksFor(attempt string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(attempt))
	return 4 + int(hash.Sum32()%24)
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(engineapi.HeaderAttempt)
	var work engineapi.Generate
	if err := json.NewDecoder(r.Body).Decode(&work); err != nil || attempt == "" {
		answer(w, http.StatusBadRequest, engineapi.Refusal{Refused: true, Reason: "not a request"})
		return
	}
	route, _, _ := strings.Cut(strings.TrimPrefix(work.Prompt, "route="), ";")
	line := journal.Line{Kind: journal.Arrive, Attempt: attempt, Route: route, Model: work.Model, Adapter: work.Adapter, Session: work.Session}
	e.journal.Write(line)
	run, fault, reason := e.begin(work)
	if reason != "" {
		line.Kind, line.Reason = journal.Refuse, reason
		e.journal.Write(line)
		answer(w, http.StatusServiceUnavailable, engineapi.Refusal{Refused: true, Reason: reason})
		return
	}
	defer func() {
		e.mutex.Lock()
		e.busy--
		e.mutex.Unlock()
	}()
	line.Kind, line.Run = journal.Begin, run
	e.journal.Write(line)
	if e.stream(w, r, attempt, run, fault) {
		line.Kind, line.Chunks = journal.End, ChunksFor(attempt)
	} else {
		line.Kind = journal.Cancel
	}
	e.journal.Write(line)
}

// begin takes a slot and names the execution, with the fault that it is to show, or says why the request is rejected.
func (e *Engine) begin(work engineapi.Generate) (run, fault, refusal string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.arrived++
	if e.arrived > e.config.FaultFrom {
		fault = e.config.Fault
	}
	loaded := e.models[work.Model]
	switch {
	case loaded == nil || loaded.state != engineapi.Loaded:
		return "", fault, "the model is not loaded"
	case work.Adapter != "" && !slices.Contains(loaded.adapters, work.Adapter):
		return "", fault, "the adapter is not loaded"
	case e.busy >= e.config.Slots:
		return "", fault, "all slots are taken"
	}
	e.busy++
	e.runs++
	return fmt.Sprintf("%s-%d-%d", e.config.ID, journal.Now(), e.runs), fault, ""
}

// stream writes the chunks; false when the stream did not reach its end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, attempt, run, fault string) bool {
	switch fault {
	case "hang":
		<-r.Context().Done()
		return false
	case "drop":
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	chunks := ChunksFor(attempt)
	encoder := json.NewEncoder(w)
	beat := time.NewTicker(e.config.ChunkTime)
	defer beat.Stop()
	for n := 0; n < chunks; n++ {
		select {
		case <-r.Context().Done():
			return false
		case <-beat.C:
		}
		chunk := engineapi.Piece{Attempt: attempt, N: n, Text: fmt.Sprintf("%s/%s/%d ", attempt, run, n)}
		if n == 2 {
			switch fault {
			case "gap":
				chunk.N++
			case "repeat":
				chunk.N--
			case "foreign":
				chunk.Attempt = "someone-else"
			case "early":
				return false
			case "stall":
				<-r.Context().Done()
				return false
			case "abort":
				panic(http.ErrAbortHandler)
			case "junk":
				_, _ = io.WriteString(w, "{not json\n")
			}
		}
		if encoder.Encode(chunk) != nil {
			return false
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if fault == "endless" && n == chunks-1 {
			chunks++
		}
	}
	return encoder.Encode(engineapi.Piece{Attempt: attempt, N: chunks, Final: true, Pieces: chunks}) == nil
}
