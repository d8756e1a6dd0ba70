package document

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Fault is one thing that is wrong with a document, with the path of the field in the names of JSON.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

func (f Fault) String() string { return f.Path + ": " + f.Reason }

// fieldValidator checks the validate tags of single fields.
var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("json"), ",")[0]
	})
	return v
}

// Validate reports every fault: of single fields, and of names that repeat or refer to nothing.
func (s *Configuration) Validate() []Fault { return append(fieldFaults(s), s.referenceFaults()...) }

// isOptional says whether the field of this namespace ("Configuration.Limits.MaxPending") may be left out: a document on
// opaque requests may leave out all that concerns sessions. One that sets any of it has to set all.
func (s *Configuration) isOptional(namespace []byte) bool {
	if s.Forward == nil || s.ServesSessions() {
		return false
	}
	section, _, _ := bytes.Cut(bytes.TrimPrefix(namespace, []byte("Configuration.")), []byte("."))
	switch string(section) {
	case "Engines", "Models", "Routes", "Store", "Limits":
		return true
	case "Zones":
		return len(s.Zones) == 0
	}
	return false
}

// fieldFaults reports the faults of single fields, by their validate tags.
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
