package peerapi

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

// wireFile is the format on the wire as the first daemons of a fleet speak it. Daemons of two builds form one fleet, so
// lines of it may be added and must not change. Messages and enums are numbered by their order in the .proto file, since
// their names and those of their fields are not on the wire; a new message goes to the end of the file.
const wireFile = "testdata/wire.txt"

var updateWire = flag.Bool("update-wire", false, "write "+wireFile+" anew, after a message or field was added")

func TestWireFormatIsUnchanged(t *testing.T) {
	// The Go name of the generated file's descriptor follows the file's name, so it is looked up by a message.
	file := (&RaftBatch{}).ProtoReflect().Descriptor().ParentFile()
	got := describeWire(t, file)
	if *updateWire {
		if err := os.WriteFile(wireFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	wanted, err := os.ReadFile(wireFile)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(wanted) {
		return
	}
	gotLines, wantedLines := strings.Split(got, "\n"), strings.Split(string(wanted), "\n")
	for i := range max(len(gotLines), len(wantedLines)) {
		gotLine, wantedLine := lineAt(gotLines, i), lineAt(wantedLines, i)
		if gotLine != wantedLine {
			t.Errorf("line %d:\n got    %s\n wanted %s", i+1, gotLine, wantedLine)
		}
	}
}

func TestTwirpPathsAreUnchanged(t *testing.T) {
	if FellowPathPrefix != "/twirp/cresspond.fellow.Fellow/" {
		t.Errorf("the service is served at %s", FellowPathPrefix)
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// describeWire lists what of a .proto file is on the wire: paths, field numbers and types, and the bytes of messages
// in which every field is filled.
func describeWire(t *testing.T, file protoreflect.FileDescriptor) string {
	t.Helper()
	out := &strings.Builder{}
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for k := range service.Methods().Len() {
			method := service.Methods().Get(k)
			fmt.Fprintf(out, "method %s/%s takes message %d and returns message %d\n", service.FullName(), method.Name(), method.Input().Index(), method.Output().Index())
		}
	}
	for i := range file.Enums().Len() {
		values := file.Enums().Get(i).Values()
		for k := range values.Len() {
			fmt.Fprintf(out, "enum %d value %d\n", i, values.Get(k).Number())
		}
	}
	for i := range file.Messages().Len() {
		message := file.Messages().Get(i)
		for k := range message.Fields().Len() {
			field := message.Fields().Get(k)
			fmt.Fprintf(out, "message %d field %d %s %s%s\n", i, field.Number(), field.Cardinality(), field.Kind(), referenced(field))
		}
		filled := dynamicpb.NewMessage(message)
		fill(filled, 1)
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(filled)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(out, "message %d filled is %d bytes with SHA-256 %x\n", i, len(data), sha256.Sum256(data))
	}
	return out.String()
}

func referenced(field protoreflect.FieldDescriptor) string {
	switch {
	case field.Message() != nil:
		return fmt.Sprint(" ", field.Message().Index())
	case field.Enum() != nil:
		return fmt.Sprint(" ", field.Enum().Index())
	}
	return ""
}

// fill sets every field to a value that differs from those of its neighbours; repeated fields get two.
func fill(message protoreflect.Message, seed int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		value := seed*31 + int(field.Number())
		if !field.IsList() {
			message.Set(field, filledValue(field, value, message.NewField(field)))
			continue
		}
		list := message.Mutable(field).List()
		for k := range 2 {
			list.Append(filledValue(field, value+k, list.NewElement()))
		}
	}
}

func filledValue(field protoreflect.FieldDescriptor, value int, empty protoreflect.Value) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text ", value))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Append(nil, "bytes ", value))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(value) / 4)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(value))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(value))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(value))
	case protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(-int64(value))
	case protoreflect.MessageKind:
		fill(empty.Message(), value)
		return empty
	}
	panic(fmt.Sprintf("no value for a field of kind %s", field.Kind()))
}
