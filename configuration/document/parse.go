package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	fastjson "github.com/segmentio/encoding/json"
)

// MaxBytes is how large a document may be.
const MaxBytes = 16 << 20

// Parse reads a document strictly and reports every fault it finds, with its path. The document is nil where there is one.
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
		return nil, []Fault{{"", "something follows the document"}}
	}
	if faults := s.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return &s, nil
}

// ParseCommitted reads a document that the group has committed, and which was validated before. It shares the memory of
// data, which must not be changed.
func ParseCommitted(data []byte) (*Configuration, error) {
	var s Configuration
	const flags = fastjson.ZeroCopy | fastjson.DisallowUnknownFields
	rest, err := fastjson.Parse(data, &s, flags)
	if err == nil && len(bytes.TrimSpace(rest)) > 0 {
		err = eris.New("something follows the document")
	}
	if err != nil {
		return nil, eris.Wrap(err, "the document cannot be read")
	}
	return &s, nil
}
