package statemachine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"reflect"
)

// outcomes numbers what commands do to the state. Raise it where a command's outcome changes though no field does:
// members of builds that apply alike must hold equal states, and only theirs are compared.
const semanticsVersion = 1

// Digest is a sum over the whole state: equal for all members that applied the same entries, whether one by one or
// by way of a snapshot. It takes as long as a snapshot does; Bytes is how long that is.
type Digest struct {
	Sum           uint64
	SnapshotBytes int
}

// Digest sums up the state.
func (s *State) Digest() Digest {
	data := s.Snapshot()
	sum := sha256.Sum256(data)
	return Digest{Sum: binary.BigEndian.Uint64(sum[:8]), SnapshotBytes: len(data)}
}

// Form tells builds apart whose digests can't be compared, by the fields of the state and by outcomes. A build that
// may differ in other ways says so by its name.
func DigestSchema(build string) uint64 {
	sum := fnv.New64a()
	_ = binary.Write(sum, binary.BigEndian, uint64(semanticsVersion))
	_, _ = sum.Write([]byte(build))
	describe(reflect.TypeFor[State](), map[reflect.Type]bool{}, func(word string) { _, _ = sum.Write([]byte(word + ";")) })
	return sum.Sum64()
}

// describe says of which fields a type is made.
func describe(of reflect.Type, seen map[reflect.Type]bool, say func(string)) {
	say(of.String())
	if seen[of] {
		return
	}
	seen[of] = true
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		describe(of.Elem(), seen, say)
	case reflect.Map:
		describe(of.Key(), seen, say)
		describe(of.Elem(), seen, say)
	case reflect.Struct:
		for place := range of.NumField() {
			field := of.Field(place)
			if !field.IsExported() {
				continue
			}
			say(field.Name + " " + string(field.Tag))
			describe(field.Type, seen, say)
		}
	}
}
