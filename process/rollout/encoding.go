package rollout

import (
	"encoding/json"

	"github.com/cresspond/cresspond/configuration/closure"
)

// EncodeClosures gives the form in which closures travel between daemons.
func EncodeClosures(closures closure.Set) []byte {
	data, err := json.Marshal(closures)
	if err != nil {
		panic("broken invariant: closures cannot be encoded: " + err.Error())
	}
	return data
}

// DecodeClosures reads what EncodeClosures wrote; it gives nil for anything else.
func DecodeClosures(data []byte) *closure.Set {
	var closures closure.Set
	if len(data) == 0 || json.Unmarshal(data, &closures) != nil {
		return nil
	}
	return &closures
}
