package protocol

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// sealKey is known to the simulated engines alone, so that nothing else can forge their stamp.
var sealKey = []byte("stand-in engines")

// Stamp is the content of a seal: who answered which attempt, in which execution, and how long the answer is.
type Stamp struct {
	Engine, Attempt, Run string
	// Status is the engine's own status.
	Status int
	// Length is of the body; -1 for streams, whose events name their attempt themselves.
	Length int
	// Digest is of the body; empty for streams.
	Digest string
}

// Digest is the digest of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Write encodes the seal. The engine's id and run must not contain a dot.
func (s Stamp) Write() string {
	plain := fmt.Sprintf("%s.%s.%s.%d.%d.%s", s.Engine, s.Run, hex.EncodeToString([]byte(s.Attempt)), s.Status, s.Length, s.Digest)
	return plain + "." + mac(plain)
}

func mac(plain string) string {
	hash := hmac.New(sha256.New, sealKey)
	hash.Write([]byte(plain))
	return hex.EncodeToString(hash.Sum(nil)[:8])
}

// ReadStamp decodes a seal and says whether it is genuine.
func ReadStamp(seal string) (Stamp, bool) {
	cut := strings.LastIndexByte(seal, '.')
	if cut < 0 || !hmac.Equal([]byte(mac(seal[:cut])), []byte(seal[cut+1:])) {
		return Stamp{}, false
	}
	fields := strings.Split(seal[:cut], ".")
	if len(fields) != 6 {
		return Stamp{}, false
	}
	attempt, err := hex.DecodeString(fields[2])
	if err != nil {
		return Stamp{}, false
	}
	stamp := Stamp{Engine: fields[0], Run: fields[1], Attempt: string(attempt), Digest: fields[5]}
	if _, err := fmt.Sscanf(fields[3]+" "+fields[4], "%d %d", &stamp.Status, &stamp.Length); err != nil {
		return Stamp{}, false
	}
	return stamp, true
}

// EventData is the data of one event of a stream; it names the attempt, the execution and the event's number.
func EventData(attempt, run string, place, of int) string {
	return fmt.Sprintf("%s/%s/%d/%d", attempt, run, place, of)
}

// ReadEventData decodes the data of an event; ok is false if it is malformed.
func ReadEventData(data string) (attempt, run string, place, of int, ok bool) {
	fields := strings.Split(data, "/")
	if len(fields) != 4 {
		return "", "", 0, 0, false
	}
	if _, err := fmt.Sscanf(fields[2]+" "+fields[3], "%d %d", &place, &of); err != nil {
		return "", "", 0, 0, false
	}
	return fields[0], fields[1], place, of, true
}

// Body is the complete answer to a plain request; it follows from attempt and execution.
func Body(attempt, run string, length int) []byte {
	unit := []byte(attempt + "/" + run + ";")
	out := make([]byte, 0, length+len(unit))
	for len(out) < length {
		out = append(out, unit...)
	}
	return out[:length]
}
