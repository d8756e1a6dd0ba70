package daemonconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
)

// Fault is one error in the settings. Field is the JSON path of the field; empty if the fault is not of one field.
type Fault struct{ File, Field, Reason string }

// String is the fault as it is printed: file, field and reason.
func (f Fault) String() string {
	where := f.File
	if f.Field != "" {
		where += ": " + f.Field
	}
	return where + ": " + f.Reason
}

// Read reads a settings file over the defaults; without a path it returns the defaults. The result is to be checked by
// Config.Check once flags have been applied.
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
