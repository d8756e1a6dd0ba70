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

// Check gives every fault of the settings at once.
func (c Config) Check(file string) []Fault {
	if file == "" {
		file = "flags"
	}
	var faults []Fault
	if c.Ranking != (nodehealth.Settings{}) {
		// Settings put together without any are those of a daemon that ranks nothing.
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
		reason := map[string]string{
			"required": "is missing", "ipport": "must be an IP number and a port", "unique": "holds something twice",
			"required_if_control": "is needed to serve control",
			"ltfield":             "must be below entries",
			"mechanism":           "names no mechanism; known are " + strings.Join(featuregates.Names(), ", "),
		}[invalid.Tag()]
		if reason == "" {
			reason = strings.TrimSuffix(fmt.Sprintf("must satisfy %s=%s", invalid.Tag(), invalid.Param()), "=")
		}
		faults = append(faults, Fault{file, strings.TrimPrefix(invalid.Namespace(), "Config."), reason})
	}
	return faults
}

var validate = newValidator()

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
		// Processes find each other by IP number alone; names would bring in an outside service.
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

// CheckAddresses says which addresses of the settings cannot be used now, by trying them.
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
