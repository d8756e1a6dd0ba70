package scenariogen

import (
	"math"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// Event is one entry of a scenario. Fields that are left out take the defaults of the program that runs the scenario.
type Event struct {
	// At is when it begins, in seconds from the start of traffic.
	At   float64 `toml:"at"`
	Kind Kind    `toml:"kind" validate:"required"`
	// Machines is the class of machines that it hits.
	Machines Class `toml:"on,omitempty"`
	// Count and Share say how many of the things that fit are hit; only one of them is given.
	Count int     `toml:"count,omitempty"`
	Share float64 `toml:"share,omitempty"`
	// Strength is how strong it is; its unit is the kind's.
	Strength float64 `toml:"x,omitempty"`
	// DurationSeconds is how long it lasts.
	DurationSeconds float64 `toml:"for_s,omitempty"`
	// GapSeconds is the time between the steps of a fault that has several.
	GapSeconds float64 `toml:"gap_s,omitempty"`
	// Variant is the kind's variant and what else happens around it, as words.
	Variant string `toml:"how,omitempty"`
}

// Class is a class of machines.
type Class string

const (
	// Counted are the machines whose loss counts.
	Counted Class = "core"
	// Fronts are the machines that take clients' requests and whose loss does not count.
	Fronts Class = "front"
)

// Closing is what hits at the end of a scenario, right after one more change was acknowledged.
type Closing struct {
	Kind        Kind    `toml:"kind"`
	DownSeconds float64 `toml:"down_s"`
	Variant     string  `toml:"how,omitempty"`
}

// Scenario is a list of faults and planned work at set times.
type Scenario struct {
	Name          string   `toml:"name"`
	Slot          string   `toml:"slot"`
	Seed          uint32   `toml:"seed"`
	LengthSeconds float64  `toml:"length_s"`
	Closing       *Closing `toml:"closing,inline,omitempty"`
	Plan          []Event  `toml:"plan,multiline"`
	Faults        []Event  `toml:"faults,multiline"`
}

// scenarioFile is the file that a scenario is read from.
type scenarioFile struct {
	Scenarios []Scenario `toml:"day"`
}

// File is the scenario as a TOML file holding one [[day]].
func (d Scenario) File() ([]byte, error) {
	return toml.Marshal(scenarioFile{Scenarios: []Scenario{d}})
}

// Write puts the scenario's file into a folder, under the scenario's name, and gives its path.
func (d Scenario) Write(folder string) (string, error) {
	data, err := d.File()
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, d.Name+".toml")
	return path, os.WriteFile(path, data, 0o600)
}

// round keeps times and strengths short in a scenario's file.
func round(value float64) float64 {
	return math.Round(value*100) / 100
}
