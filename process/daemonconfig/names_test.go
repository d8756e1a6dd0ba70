package daemonconfig

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// namesFile lists the JSON names of all settings. Deployments write them, so lines are added and never changed.
const namesFile = "testdata/names.txt"

func TestSettingsKeepTheirJSONNames(t *testing.T) {
	wanted, err := os.ReadFile(namesFile)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(jsonNames(t, reflect.TypeFor[Config](), ""), "\n") + "\n"
	if got != string(wanted) {
		t.Errorf("the settings' names are\n%s\nand in %s\n%s", got, namesFile, wanted)
	}
}

// jsonNames returns the JSON paths of a struct's fields, with their options, in the order of the fields.
func jsonNames(t *testing.T, of reflect.Type, prefix string) (names []string) {
	t.Helper()
	for field := range of.Fields() {
		tag := field.Tag.Get("json")
		name, _, _ := strings.Cut(tag, ",")
		if name == "" {
			t.Errorf("%s.%s has no JSON name", of.Name(), field.Name)
		}
		names = append(names, prefix+tag+" "+field.Type.Kind().String())
		if field.Type.Kind() == reflect.Struct {
			names = append(names, jsonNames(t, field.Type, prefix+name+".")...)
		}
	}
	return names
}
