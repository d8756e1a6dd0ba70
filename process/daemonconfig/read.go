package daemonconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
)

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
