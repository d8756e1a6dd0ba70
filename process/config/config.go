// Package config reads and checks a daemon's own settings: a JSON file, overridden by flags.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/cresspond/cresspond/process/ident"
)

// Role is one thing a daemon can do.
type Role string

const (
	// Route carries caller traffic.
	Route Role = "route"
	// Control is a member of the Raft group, and needs a disk.
	Control Role = "control"
	// Place plans and orders loads.
	Place Role = "place"
)

// Config is what one daemon is told of its place.
type Config struct {
	Name string       `json:"name" validate:"required,max=64,excludesall=#/ "`
	Zone ident.ZoneID `json:"zone" validate:"required,max=64"`
	// Listen is for callers and operators, FellowListen for other daemons.
	Listen       string `json:"listen" validate:"required,ipport"`
	FellowListen string `json:"fellowListen" validate:"required,ipport"`
	// FellowAddress is how others reach FellowListen; empty takes FellowListen itself.
	FellowAddress string   `json:"fellowAddress" validate:"omitempty,ipport"`
	Seeds         []string `json:"seeds" validate:"required,min=1,max=7,unique,dive,ipport"`
	Serve         []Role   `json:"serve" validate:"required,min=1,unique,dive,oneof=route control place"`
	Data          string   `json:"data" validate:"required_if_control"`
	Platform      string   `json:"platform" validate:"omitempty,ipport"`
	// DrainMs is how long a stopping daemon may take to finish what it has read.
	DrainMs int64 `json:"drainMs" validate:"gte=0,lte=600000"`
	// Log is the least level that is logged.
	Log string `json:"log" validate:"oneof=debug info warn error"`
}

// Default gives the settings that need not be said.
func Default() Config { return Config{DrainMs: 30000, Log: "info"} }

// Serves says whether the daemon has a role.
func (c Config) Serves(role Role) bool { return slices.Contains(c.Serve, role) }

// ReachedAt is the address other daemons use.
func (c Config) ReachedAt() string {
	if c.FellowAddress != "" {
		return c.FellowAddress
	}
	return c.FellowListen
}

// Fault is one thing wrong with the settings.
type Fault struct{ File, Field, Reason string }

func (f Fault) String() string {
	where := f.File
	if f.Field != "" {
		where += ": " + f.Field
	}
	return where + ": " + f.Reason
}

// Read reads the file over the defaults; it is not yet checked, since flags may still fill it.
func Read(path string) (Config, []Fault) {
	c := Default()
	if path == "" {
		return c, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return c, []Fault{{path, "", err.Error()}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		if typed, ok := err.(*json.UnmarshalTypeError); ok {
			return c, []Fault{{path, typed.Field, "a " + typed.Value + " does not fit here"}}
		}
		return c, []Fault{{path, "", strings.TrimPrefix(err.Error(), "json: ")}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return c, []Fault{{path, "", "something follows the settings"}}
	}
	return c, nil
}

var check = newCheck()

func newCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("json") })
	must := func(err error) {
		if err != nil {
			panic("broken invariant: a check cannot be registered: " + err.Error())
		}
	}
	must(v.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		host, port, err := net.SplitHostPort(level.Field().String())
		// Processes find each other by IP number alone; names would bring in an outside service.
		return err == nil && net.ParseIP(host) != nil && port != ""
	}))
	must(v.RegisterValidation("required_if_control", func(level validator.FieldLevel) bool {
		c, ok := level.Parent().Interface().(Config)
		return !ok || !c.Serves(Control) || c.Data != ""
	}, true))
	return v
}

// Check gives every fault of the settings at once.
func (c Config) Check(file string) []Fault {
	if file == "" {
		file = "flags"
	}
	err := check.Struct(c)
	if err == nil {
		return nil
	}
	found, ok := err.(validator.ValidationErrors)
	if !ok {
		return []Fault{{file, "", err.Error()}}
	}
	var faults []Fault
	for _, one := range found {
		reason := map[string]string{
			"required": "is missing", "ipport": "must be an IP number and a port", "unique": "holds something twice",
			"required_if_control": "is needed to serve control",
		}[one.Tag()]
		if reason == "" {
			reason = strings.TrimSuffix(fmt.Sprintf("must satisfy %s=%s", one.Tag(), one.Param()), "=")
		}
		faults = append(faults, Fault{file, strings.TrimPrefix(one.Namespace(), "Config."), reason})
	}
	return faults
}
