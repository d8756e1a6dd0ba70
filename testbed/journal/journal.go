// Package journal is the log of events that simulated engines write, from which the checker checks a run.
package journal

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cresspond/cresspond/clock"
)

// Kind is the kind of a line.
type Kind string

const (
	// Start: an engine's process came up.
	Start Kind = "start"
	// Arrive: a request came, whatever became of it.
	Arrive Kind = "arrive"
	// Refuse: the engine refused work.
	Refuse Kind = "refuse"
	// Begin: work began to run.
	Begin Kind = "begin"
	// End: work ran to its end.
	End Kind = "end"
	// Cancel: the caller of running work closed its connection.
	Cancel Kind = "cancel"
	// Order: an order came and was taken.
	Order Kind = "order"
	// OrderRefused: an order came and was refused.
	OrderRefused Kind = "order-refused"
	// LoadBegin: a model began to load.
	LoadBegin Kind = "load-begin"
	// LoadEnd: a model is loaded.
	LoadEnd Kind = "load-end"
	// Leaving: the engine was asked to drain.
	Leaving Kind = "leaving"
)

// Line is one thing that happened at an engine.
type Line struct {
	At      time.Duration `json:"at"`
	Engine  string        `json:"engine"`
	Kind    Kind          `json:"kind"`
	Attempt string        `json:"attempt,omitempty"`
	Run     string        `json:"run,omitempty"`
	Route   string        `json:"route,omitempty"`
	Model   string        `json:"model,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Session string        `json:"session,omitempty"`
	Chunks  int           `json:"pieces,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Stamp   string        `json:"stamp,omitempty"`
	Claim   uint64        `json:"claim,omitempty"`
	Order   string        `json:"order,omitempty"`
}

// Now is the clock of all journals: it is the same for all processes of one machine.
func Now() time.Duration { return time.Duration(clock.System{}.Elapsed()) }

// Writer appends lines; each is handed to the system at once, so a killed process loses none.
type Writer struct {
	mutex  sync.Mutex
	file   *os.File
	engine string
}

// NewWriter opens a journal for appending.
func NewWriter(path, engine string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &Writer{file: file, engine: engine}, err
}

// Write appends one line.
func (w *Writer) Write(entry Line) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	entry.At, entry.Engine = Now(), w.engine
	data, err := json.Marshal(entry)
	if err != nil {
		panic("broken invariant: a journal line cannot be encoded: " + err.Error())
	}
	if _, err := w.file.Write(append(data, '\n')); err != nil {
		panic("a journal cannot be written: " + err.Error())
	}
}

// Read reads a complete journal.
func Read(path string) ([]Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []Line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var entry Line
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			return nil, err
		}
		lines = append(lines, entry)
	}
	return lines, scanner.Err()
}
