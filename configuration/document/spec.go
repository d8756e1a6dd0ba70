// Package document reads and checks the operators' bundle: routes, catalogue, zones and engines.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	fastjson "github.com/segmentio/encoding/json"

	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/ident"
)

// Configuration is one bundle.
type Configuration struct {
	Name     string    `json:"name" validate:"required,max=120"`
	Zones    []Zone    `json:"zones" validate:"required,min=1,dive"`
	Engines  []Engine  `json:"engines" validate:"required,min=1,dive"`
	Models   []Model   `json:"models" validate:"required,min=1,dive"`
	Adapters []Adapter `json:"adapters" validate:"dive"`
	Routes   []Route   `json:"routes" validate:"required,min=1,dive"`
	Store    Store     `json:"store"`
	Limits   Limits    `json:"limits"`
	// Forward is there for deployments whose requests are opaque; the parts on sessions may then be left out.
	Forward *upstream.Section `json:"forward,omitempty"`
}

// Zone is one place where machines stand.
type Zone struct {
	Name ident.ZoneID `json:"name" validate:"required,max=64"`
}

// Engine is a back end that may be used; its address comes from the platform.
type Engine struct {
	ID           ident.EngineID `json:"id" validate:"required,max=64"`
	Zone         ident.ZoneID   `json:"zone" validate:"required"`
	Capacity     int64          `json:"room" validate:"gt=0"`
	AdapterSlots int            `json:"adapterPlaces" validate:"gte=0,lte=10000"`
	Slots        int            `json:"slots" validate:"gt=0,lte=100000"`
}

// Model is one entry of the catalogue.
type Model struct {
	Name string `json:"name" validate:"required,max=120"`
	Size int64  `json:"size" validate:"gt=0"`
}

// Adapter belongs to one model.
type Adapter struct {
	Name  string `json:"name" validate:"required,max=120"`
	Model string `json:"model" validate:"required"`
}

// Route is what a caller names; its worth and rank are its bid.
type Route struct {
	Name   string `json:"name" validate:"required,max=120"`
	Tenant string `json:"house" validate:"required,max=120"`
	// Priority is the bid: the highest is seated first. Among equal worths the lower rank goes first.
	Priority int64    `json:"worth" validate:"gte=0,lte=1000000000"`
	Rank     int      `json:"rank" validate:"gte=0,lte=1000000"`
	Models   []string `json:"models" validate:"required,min=1"`
	Adapters []string `json:"adapters"`
	// MaxPending bounds how many requests of this route one daemon holds; zero takes the limit for all.
	MaxPending int `json:"mostHeld" validate:"gte=0,lte=1000000"`
}

// Store is the pace at which models may be read from the store, over the whole fleet.
type Store struct {
	MaxConcurrentLoads int   `json:"loadsAtOnce" validate:"gt=0,lte=1000"`
	LoadIntervalMs     int64 `json:"loadGapMs" validate:"gte=0,lte=3600000"`
}

// Limits bound what one daemon takes on.
type Limits struct {
	MaxBodyBytes     int   `json:"mostBodyBytes" validate:"gt=0,lte=4194304"`
	MaxPending       int   `json:"mostHeld" validate:"gt=0,lte=1000000"`
	MaxPendingBytes  int64 `json:"mostHeldBytes" validate:"gt=0"`
	MaxDeadlineMs    int64 `json:"mostDeadlineMs" validate:"gt=0,lte=600000"`
	AssignmentIdleMs int64 `json:"seatIdleMs" validate:"gt=0,lte=86400000"`
	// MaxRetryRatio is the greatest share of first goes that may be followed by another.
	MaxRetryRatio float64 `json:"retryShare" validate:"gte=0,lte=0.5"`
}

// Fault is one thing wrong with a bundle.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

func (f Fault) String() string { return f.Path + ": " + f.Reason }

// MaxBytes is how large a bundle may be.
const MaxBytes = 16 << 20

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("json"), ",")[0]
	})
	return v
}

// Parse reads a bundle strictly and gives every fault it finds, with its path.
func Parse(data []byte) (*Configuration, []Fault) {
	if len(data) > MaxBytes {
		return nil, []Fault{{"", fmt.Sprintf("larger than %d bytes", MaxBytes)}}
	}
	if mayDuplicateKeys(data) {
		if faults := duplicateKeys(data); len(faults) > 0 {
			return nil, faults
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Configuration
	if err := decoder.Decode(&s); err != nil {
		path, reason := "", strings.TrimPrefix(err.Error(), "json: ")
		if typed, ok := err.(*json.UnmarshalTypeError); ok {
			path, reason = typed.Field, "a "+typed.Value+" does not fit here"
		}
		return nil, []Fault{{path, reason}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, []Fault{{"", "something follows the bundle"}}
	}
	if faults := s.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// ParseCommitted takes a bundle that the group has committed, and so has been checked. It shares the memory of data,
// which must stay as it is.
func ParseCommitted(data []byte) (*Configuration, error) {
	var s Configuration
	const flags = fastjson.ZeroCopy | fastjson.DisallowUnknownFields
	rest, err := fastjson.Parse(data, &s, flags)
	if err == nil && len(bytes.TrimSpace(rest)) > 0 {
		err = eris.New("something follows the bundle")
	}
	if err != nil {
		return nil, eris.Wrap(err, "the bundle cannot be read")
	}
	return &s, nil
}

// Validate gives every fault of what the bundle says.
func (s *Configuration) Validate() []Fault { return append(fieldFaults(s), s.referenceFaults()...) }

// ServesSessions says whether the bundle says anything of sessions.
func (s *Configuration) ServesSessions() bool {
	return len(s.Engines)+len(s.Models)+len(s.Adapters)+len(s.Routes) > 0 || s.Store != (Store{}) || s.Limits != (Limits{})
}

// isOptional says of a field's namespace that it need not be there: a bundle on opaque requests may say nothing
// of sessions. One that says anything of them says all.
func (s *Configuration) isOptional(namespace []byte) bool {
	if s.Forward == nil || s.ServesSessions() {
		return false
	}
	part, _, _ := bytes.Cut(bytes.TrimPrefix(namespace, []byte("Configuration.")), []byte("."))
	switch string(part) {
	case "Engines", "Models", "Routes", "Store", "Limits":
		return true
	case "Zones":
		return len(s.Zones) == 0
	}
	return false
}

func fieldFaults(s *Configuration) []Fault {
	err := fieldValidator.StructFiltered(s, s.isOptional)
	if err == nil {
		return nil
	}
	found, ok := err.(validator.ValidationErrors)
	if !ok {
		return []Fault{{"", err.Error()}}
	}
	var faults []Fault
	for _, one := range found {
		path := strings.TrimPrefix(one.Namespace(), "Configuration.")
		reason := "must satisfy " + one.Tag()
		if one.Param() != "" {
			reason += "=" + one.Param()
		}
		if one.Tag() == "required" {
			reason = "is missing"
		}
		faults = append(faults, Fault{path, reason})
	}
	return faults
}
