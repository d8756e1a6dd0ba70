// Package spec reads and checks the operators' bundle: routes, catalogue, zones and engines.
package spec

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

	"github.com/cresspond/cresspond/epoch/forward"
	"github.com/cresspond/cresspond/process/ident"
)

// Spec is one bundle.
type Spec struct {
	Name     string    `json:"name" validate:"required,max=120"`
	Zones    []Zone    `json:"zones" validate:"required,min=1,dive"`
	Engines  []Engine  `json:"engines" validate:"required,min=1,dive"`
	Models   []Model   `json:"models" validate:"required,min=1,dive"`
	Adapters []Adapter `json:"adapters" validate:"dive"`
	Routes   []Route   `json:"routes" validate:"required,min=1,dive"`
	Store    Store     `json:"store"`
	Limits   Limits    `json:"limits"`
	// Forward is there for deployments whose requests are opaque; the parts on sessions may then be left out.
	Forward *forward.Section `json:"forward,omitempty"`
}

// Zone is one place where machines stand.
type Zone struct {
	Name ident.ZoneID `json:"name" validate:"required,max=64"`
}

// Engine is a back end that may be used; its address comes from the platform.
type Engine struct {
	ID            ident.EngineID `json:"id" validate:"required,max=64"`
	Zone          ident.ZoneID   `json:"zone" validate:"required"`
	Room          int64          `json:"room" validate:"gt=0"`
	AdapterPlaces int            `json:"adapterPlaces" validate:"gte=0,lte=10000"`
	Slots         int            `json:"slots" validate:"gt=0,lte=100000"`
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
	Name  string `json:"name" validate:"required,max=120"`
	House string `json:"house" validate:"required,max=120"`
	// Worth is the bid: the highest is seated first. Among equal worths the lower rank goes first.
	Worth    int64    `json:"worth" validate:"gte=0,lte=1000000000"`
	Rank     int      `json:"rank" validate:"gte=0,lte=1000000"`
	Models   []string `json:"models" validate:"required,min=1"`
	Adapters []string `json:"adapters"`
	// MostHeld bounds how many requests of this route one daemon holds; zero takes the limit for all.
	MostHeld int `json:"mostHeld" validate:"gte=0,lte=1000000"`
}

// Store is the pace at which models may be read from the store, over the whole fleet.
type Store struct {
	LoadsAtOnce int   `json:"loadsAtOnce" validate:"gt=0,lte=1000"`
	LoadGapMs   int64 `json:"loadGapMs" validate:"gte=0,lte=3600000"`
}

// Limits bound what one daemon takes on.
type Limits struct {
	MostBodyBytes  int   `json:"mostBodyBytes" validate:"gt=0,lte=4194304"`
	MostHeld       int   `json:"mostHeld" validate:"gt=0,lte=1000000"`
	MostHeldBytes  int64 `json:"mostHeldBytes" validate:"gt=0"`
	MostDeadlineMs int64 `json:"mostDeadlineMs" validate:"gt=0,lte=600000"`
	SeatIdleMs     int64 `json:"seatIdleMs" validate:"gt=0,lte=86400000"`
	// RetryShare is the greatest share of first goes that may be followed by another.
	RetryShare float64 `json:"retryShare" validate:"gte=0,lte=0.5"`
}

// Fault is one thing wrong with a bundle.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

func (f Fault) String() string { return f.Path + ": " + f.Reason }

// MostBytes is how large a bundle may be.
const MostBytes = 16 << 20

var check = newCheck()

func newCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("json"), ",")[0]
	})
	return v
}

// Parse reads a bundle strictly and gives every fault it finds, with its path.
func Parse(data []byte) (*Spec, []Fault) {
	if len(data) > MostBytes {
		return nil, []Fault{{"", fmt.Sprintf("larger than %d bytes", MostBytes)}}
	}
	if mayDuplicateKeys(data) {
		if faults := duplicateKeys(data); len(faults) > 0 {
			return nil, faults
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Spec
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
	if faults := s.Check(); len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// Read takes a bundle that the group has committed, and so has been checked. It shares the memory of data,
// which must stay as it is.
func Read(data []byte) (*Spec, error) {
	var s Spec
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

// Check gives every fault of what the bundle says.
func (s *Spec) Check() []Fault { return append(tagFaults(s), s.crossFaults()...) }

// ServesSessions says whether the bundle says anything of sessions.
func (s *Spec) ServesSessions() bool {
	return len(s.Engines)+len(s.Models)+len(s.Adapters)+len(s.Routes) > 0 || s.Store != (Store{}) || s.Limits != (Limits{})
}

// leftOut says of a field's namespace that it need not be there: a bundle on opaque requests may say nothing
// of sessions. One that says anything of them says all.
func (s *Spec) leftOut(namespace []byte) bool {
	if s.Forward == nil || s.ServesSessions() {
		return false
	}
	part, _, _ := bytes.Cut(bytes.TrimPrefix(namespace, []byte("Spec.")), []byte("."))
	switch string(part) {
	case "Engines", "Models", "Routes", "Store", "Limits":
		return true
	case "Zones":
		return len(s.Zones) == 0
	}
	return false
}

func tagFaults(s *Spec) []Fault {
	err := check.StructFiltered(s, s.leftOut)
	if err == nil {
		return nil
	}
	found, ok := err.(validator.ValidationErrors)
	if !ok {
		return []Fault{{"", err.Error()}}
	}
	var faults []Fault
	for _, one := range found {
		path := strings.TrimPrefix(one.Namespace(), "Spec.")
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

// crossFaults finds names that stand twice or that nothing bears.
func (s *Spec) crossFaults() []Fault {
	var faults []Fault
	say := func(reason, path string, args ...any) {
		faults = append(faults, Fault{fmt.Sprintf(path, args...), reason})
	}
	zones, engines := map[ident.ZoneID]bool{}, map[ident.EngineID]bool{}
	models, adapters, routes := map[string]int64{}, map[string]string{}, map[string]bool{}
	for i, zone := range s.Zones {
		if zones[zone.Name] {
			say("stands twice", "zones[%d].name", i)
		}
		zones[zone.Name] = true
	}
	largestRoom := int64(0)
	for i, engine := range s.Engines {
		if engines[engine.ID] {
			say("stands twice", "engines[%d].id", i)
		}
		engines[engine.ID] = true
		if !zones[engine.Zone] {
			say("no such zone", "engines[%d].zone", i)
		}
		largestRoom = max(largestRoom, engine.Room)
	}
	for i, model := range s.Models {
		if _, twice := models[model.Name]; twice {
			say("stands twice", "models[%d].name", i)
		}
		models[model.Name] = model.Size
		if model.Size > largestRoom {
			say("fits on no engine", "models[%d].size", i)
		}
	}
	for i, adapter := range s.Adapters {
		if _, twice := adapters[adapter.Name]; twice {
			say("stands twice", "adapters[%d].name", i)
		}
		adapters[adapter.Name] = adapter.Model
		if _, known := models[adapter.Model]; !known {
			say("no such model", "adapters[%d].model", i)
		}
	}
	for i, route := range s.Routes {
		if routes[route.Name] {
			say("stands twice", "routes[%d].name", i)
		}
		routes[route.Name] = true
		allowed := map[string]bool{}
		for j, model := range route.Models {
			if _, known := models[model]; !known {
				say("no such model", "routes[%d].models[%d]", i, j)
			}
			allowed[model] = true
		}
		for j, adapter := range route.Adapters {
			model, known := adapters[adapter]
			if !known {
				say("no such adapter", "routes[%d].adapters[%d]", i, j)
			} else if !allowed[model] {
				say("its model is not allowed on this route", "routes[%d].adapters[%d]", i, j)
			}
		}
	}
	if s.Forward != nil {
		s.Forward.Check(func(path, reason string) { faults = append(faults, Fault{"forward." + path, reason}) })
	}
	return faults
}

// manyKeys is how many keys of one object are compared one by one.
const manyKeys = 24

// mayDuplicateKeys says quickly whether any object may have a key twice: bundles of thousands of paths are
// sound as a rule, and where they aren't, duplicateKeys tells the places.
func mayDuplicateKeys(data []byte) bool {
	type level struct {
		object bool
		few    [][]byte
		many   map[string]bool
	}
	var open []level
	// last is the delimiter before the token: a key of an object follows its brace or a comma.
	last := fastjson.Delim(0)
	for t := fastjson.NewTokenizer(data); t.Next(); {
		switch t.Delim {
		case '{', '[':
			if len(open) < cap(open) {
				// The room of a level that was closed is used again.
				open = open[:len(open)+1]
			} else {
				open = append(open, level{})
			}
			in := &open[len(open)-1]
			in.object, in.few, in.many = t.Delim == '{', in.few[:0], nil
		case '}', ']':
			open = open[:max(0, len(open)-1)]
		case 0:
			if len(open) == 0 || !open[len(open)-1].object || last != '{' && last != ',' {
				break
			}
			key, in := []byte(t.Value), &open[len(open)-1]
			if bytes.IndexByte(key, '\\') >= 0 {
				key = []byte(`"` + string(t.String()) + `"`)
			}
			if in.many != nil {
				folded := strings.ToLower(string(key))
				if in.many[folded] {
					return true
				}
				in.many[folded] = true
				break
			}
			for _, other := range in.few {
				if bytes.EqualFold(other, key) {
					return true
				}
			}
			if in.few = append(in.few, key); len(in.few) > manyKeys {
				in.many = make(map[string]bool, 2*manyKeys)
				for _, one := range in.few {
					in.many[strings.ToLower(string(one))] = true
				}
			}
		}
		last = t.Delim
	}
	return false
}

// duplicateKeys walks the tokens, because the decoder would silently let the last of two keys win.
func duplicateKeys(data []byte) []Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var faults []Fault
	var walk func(path string) error
	walk = func(path string) error {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		delim, ok := token.(json.Delim)
		if !ok {
			return nil
		}
		seen := map[string]bool{}
		for place := 0; decoder.More(); place++ {
			below := fmt.Sprintf("%s[%d]", path, place)
			if delim == '{' {
				key, err := decoder.Token()
				if err != nil {
					return err
				}
				name := key.(string)
				below = strings.TrimPrefix(path+"."+name, ".")
				// The decoder takes names without regard to case, so two that differ only in case meet too.
				if seen[strings.ToLower(name)] {
					faults = append(faults, Fault{below, "stands twice"})
				}
				seen[strings.ToLower(name)] = true
			}
			if err := walk(below); err != nil {
				return err
			}
		}
		_, err = decoder.Token()
		return err
	}
	// Malformed JSON is told by the decoder proper, with its own words.
	if err := walk(""); err != nil {
		return nil
	}
	return faults
}
