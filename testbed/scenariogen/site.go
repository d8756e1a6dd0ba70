// Package scenariogen generates scenarios with faults for a deployment that a site file describes.
//
// A scenario is a list of faults at set times, as a site file holds them under [[day]]. The scenarios made here put kinds
// together that a site's own scenarios keep apart: a fault in the recovery from another, the same one again as soon as
// the first is over, changes of the configuration in flight at both edges of a partition. Everything is drawn from a seed;
// the same site, seed and count give the same scenarios, byte for byte. Losses of counted machines stay inside what the
// site tolerates, so whatever rule breaks is broken by the system and not by the scenario.
package scenariogen

import (
	"fmt"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Site is what a site file says about the scenarios that can be run on it. Names of zones, services and
// machines are not among it: what a fault leaves open is drawn by the program that runs the scenario.
type Site struct {
	Name string `toml:"name" validate:"required"`
	// Contracts are the parts of the rules in force; some kinds of fault need one of them.
	Contracts []string `toml:"contracts" validate:"required"`
	// LengthSeconds is how long traffic lasts on a scenario of the site's own.
	LengthSeconds float64   `toml:"length_s" validate:"gt=0"`
	Machines      []Group   `toml:"machines" validate:"required,dive"`
	Timing        Timing    `toml:"timing"`
	Tolerate      Tolerance `toml:"tolerate"`
	Bounds        Bounds    `toml:"bounds"`
	// Events are the kinds that the site's own scenarios are mixed from.
	Events []Event `toml:"troubles"`
}

// Group is a number of like machines.
type Group struct {
	Count int `toml:"count" validate:"gte=0"`
}

// machineCount is how many machines the system runs on.
func (s Site) machineCount() int {
	count := 0
	for _, group := range s.Machines {
		count += group.Count
	}
	return count
}

// Timing holds the times of a site that bound how close losses may follow each other.
type Timing struct {
	// CatchUpSeconds is how long a machine still counts as lost after it is back.
	CatchUpSeconds float64 `toml:"catch_up_s" validate:"gt=0"`
}

// Bounds are the figures of the rules.
type Bounds struct {
	// GraceSeconds is how long a stopped process may take to end.
	GraceSeconds float64 `toml:"grace_s" validate:"gte=0"`
	// RecoverSeconds is how long the system may take to serve again after it was down as a whole.
	RecoverSeconds float64 `toml:"recover_s" validate:"gte=0"`
}

// Tolerance is what may be lost at once with all rules kept.
type Tolerance struct {
	Machines int `toml:"machines" validate:"gte=0"`
}

// ReadSite reads a site file.
func ReadSite(path string) (Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Site{}, err
	}
	site, err := ParseSite(data)
	if err != nil {
		return Site{}, fmt.Errorf("%s: %w", path, err)
	}
	return site, nil
}

// ParseSite reads the content of a site file and checks what the scenarios are built on.
func ParseSite(data []byte) (Site, error) {
	var site Site
	if err := toml.Unmarshal(data, &site); err != nil {
		return Site{}, err
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(site); err != nil {
		return Site{}, err
	}
	return site, nil
}
