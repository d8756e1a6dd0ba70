package daemonconfig

import (
	"fmt"
	"net"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/featuregates"
)

// Check returns all faults of the settings. file names their source in the faults; empty: the flags.
func (c Config) Check(file string) []Fault {
	if file == "" {
		file = "flags"
	}
	var faults []Fault
	if c.Ranking != (nodehealth.Settings{}) {
		// Settings that were not read, but built without a ranking, rank nothing.
		for _, invalid := range c.Ranking.Check() {
			faults = append(faults, Fault{file, "ranking." + invalid.Field, invalid.Reason})
		}
	}
	err := validate.Struct(c)
	if err == nil {
		return faults
	}
	found, ok := err.(validator.ValidationErrors)
	if !ok {
		return append(faults, Fault{file, "", err.Error()})
	}
	for _, invalid := range found {
		faults = append(faults, Fault{file, strings.TrimPrefix(invalid.Namespace(), "Config."), reasonOf(invalid)})
	}
	return faults
}

// reasonOf says what is wrong with a field that the validator rejected.
func reasonOf(invalid validator.FieldError) string {
	switch invalid.Tag() {
	case "required":
		return "is missing"
	case "ipport":
		return "must be an IP number and a port"
	case "unique":
		return "holds something twice"
	case "required_if_control":
		return "is needed to serve control"
	case "ltfield":
		return "must be below entries"
	case "mechanism":
		return "names no mechanism; known are " + strings.Join(featuregates.Names(), ", ")
	}
	return strings.TrimSuffix(fmt.Sprintf("must satisfy %s=%s", invalid.Tag(), invalid.Param()), "=")
}

// validate checks the tags of Config, with the rules of this package.
var validate = newValidator()

// newValidator makes a validator that names fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	must := func(err error) {
		if err != nil {
			panic("broken invariant: a check cannot be registered: " + err.Error())
		}
	}
	must(v.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		host, port, err := net.SplitHostPort(level.Field().String())
		// IP numbers only: names would depend on an outside service.
		return err == nil && net.ParseIP(host) != nil && port != ""
	}))
	must(v.RegisterValidation("mechanism", func(level validator.FieldLevel) bool {
		_, err := featuregates.Parse([]string{level.Field().String()})
		return err == nil
	}))
	must(v.RegisterValidation("required_if_control", func(level validator.FieldLevel) bool {
		config, ok := level.Parent().Interface().(Config)
		return !ok || !config.Serves(Control) || config.DataDir != ""
	}, true))
	return v
}

// CheckAddresses tries to listen at the addresses that can be tried, and returns those that fail.
func (c Config) CheckAddresses(file string) []Fault {
	if c.MetricsListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", c.MetricsListen)
	if err != nil {
		return []Fault{{file, MetricsKey, err.Error()}}
	}
	listener.Close()
	return nil
}
