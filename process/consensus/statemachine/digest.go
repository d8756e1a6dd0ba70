package statemachine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"reflect"
)

// semanticsVersion numbers what commands do to the state. Raise it where a command's effect changes though no encoded
// field does: members of builds that apply alike must hold equal states, and only theirs are compared.
const semanticsVersion = 1

// Digest is a checksum of the encoded state: equal for all members that applied the same entries, whether one by one or
// by way of a snapshot. It costs as much as a snapshot; SnapshotBytes is how long that is.
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

// DigestSchema identifies builds whose digests can be compared: those with the same encoding of the state, the same
// semanticsVersion and the same name, by which a build says that it may differ in other ways. Names in Go don't count.
func DigestSchema(build string) uint64 {
	sum := fnv.New64a()
	_ = binary.Write(sum, binary.BigEndian, uint64(semanticsVersion))
	_, _ = sum.Write([]byte(build))
	describeEncoding(reflect.TypeFor[State](), map[reflect.Type]bool{}, func(text string) { _, _ = sum.Write([]byte(text + ";")) })
	return sum.Sum64()
}

// describeEncoding writes how a type is encoded: kinds of values, and names and options of fields. open holds the types
// that are being described, so that a type which contains itself is described once.
func describeEncoding(of reflect.Type, open map[reflect.Type]bool, write func(string)) {
	write(of.Kind().String())
	if open[of] {
		return
	}
	open[of] = true
	defer delete(open, of)
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		describeEncoding(of.Elem(), open, write)
	case reflect.Map:
		describeEncoding(of.Key(), open, write)
		describeEncoding(of.Elem(), open, write)
	case reflect.Struct:
		for index := range of.NumField() {
			field := of.Field(index)
			if !field.IsExported() {
				continue
			}
			write(fieldEncoding(field))
			describeEncoding(field.Type, open, write)
		}
		write("end")
	}
}

// fieldEncoding gives a field's JSON name and options; the Go name counts only where there is no tag.
func fieldEncoding(field reflect.StructField) string {
	if tag, tagged := field.Tag.Lookup("json"); tagged {
		return tag
	}
	return field.Name
}
