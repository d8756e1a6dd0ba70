// Package compare reads what days of the users' bench gave before and after a change, pairs the plays of the same
// day with the same seed, and sums up the differences by figure.
package compare

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Entry is one entry of the bench's journal: a command and the days that it played.
type Entry struct {
	ID        string   `json:"id"`
	Command   string   `json:"cmd"`
	Arguments []string `json:"argv"`
	Why       string   `json:"why"`
	Site      string   `json:"site"`
	OK        bool     `json:"ok"`
	Days      []Day    `json:"days"`
}

// Day is one played day. Shares are from 0 to 1.
type Day struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Worth is the share of the worth owed that was earned, less all prices.
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Parts   []Part  `json:"parts"`
	Prices  []Price `json:"prices"`
	// ByKind is the share of worth that each kind of request earned, in the order of the site's page.
	ByKind []*float64     `json:"by_class"`
	Rules  map[string]any `json:"rules"`
	Fault  *string        `json:"fault"`
	Gate   bool           `json:"gate"`
}

// Part is one part of a day's worth.
type Part struct {
	Name          string
	Weight, Share float64
}

// UnmarshalJSON reads a part as the journal holds it: name, weight, share.
func (p *Part) UnmarshalJSON(data []byte) error {
	return readTriple(data, &p.Name, &p.Weight, &p.Share)
}

// Price is what one thing took off a day's worth.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON reads a price as the journal holds it: name, amount, cost.
func (p *Price) UnmarshalJSON(data []byte) error {
	return readTriple(data, &p.Name, &p.Amount, &p.Cost)
}

// readTriple reads a list of a name and two numbers.
func readTriple(data []byte, name *string, first, second *float64) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	if len(parts) != 3 {
		return fmt.Errorf("%d fields where a name and two numbers belong", len(parts))
	}
	for at, into := range []any{name, first, second} {
		if err := json.Unmarshal(parts[at], into); err != nil {
			return err
		}
	}
	return nil
}

// ReadError says which entry can't be read.
type ReadError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *ReadError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// ReadFolder reads all entries of a journal in the order of their names. Those that can't be read are left out, and
// an error for each is given beside the others.
func ReadFolder(folder fs.FS) ([]Entry, []*ReadError) {
	names, err := fs.Glob(folder, "*.json")
	if err != nil {
		return nil, []*ReadError{{File: ".", Cause: err}}
	}
	slices.Sort(names)
	var entries []Entry
	var faults []*ReadError
	for _, name := range names {
		data, err := fs.ReadFile(folder, name)
		var entry Entry
		if err == nil {
			err = json.Unmarshal(data, &entry)
		}
		if err != nil {
			faults = append(faults, &ReadError{File: filepath.Base(name), Cause: err})
			continue
		}
		entries = append(entries, entry)
	}
	return entries, faults
}

// Select gives the entries whose reason begins with a text, or whose id it is.
func Select(entries []Entry, text string) []Entry {
	var out []Entry
	for _, entry := range entries {
		if entry.ID == text || strings.HasPrefix(entry.Why, text) {
			out = append(out, entry)
		}
	}
	return out
}

// scale says under which conditions an entry's days were played, so that only like ones are paired.
func (e Entry) scale() string {
	scale := ""
	for _, option := range []string{"--small", "--no-cpu"} {
		if slices.Contains(e.Arguments, option) {
			scale += " " + option
		}
	}
	return scale
}
