package upstream

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func named(name, host, prefix string) Path {
	return Path{Name: name, Host: host, Prefix: prefix, Class: Once, DeadlineMs: 1, Attempts: 1, Shares: []Share{{Pool: "p", Weight: 1}}}
}

func faults(check func(report func(path, reason string))) (out []string) {
	check(func(path, reason string) { out = append(out, path+": "+reason) })
	return out
}

func TestInvalidSectionsAreRefused(t *testing.T) {
	sound := func() Section {
		return Section{Revision: 1, Pools: []Pool{{Name: "p", Catalogue: &Catalogue{Models: []Model{{Name: "m"}, {Name: "n"}}}}, {Name: "q"}},
			Paths: []Path{named("a", "h", "/a/"), named("b", "h", "/b/"), named("c", "g", "/a/")}}
	}
	for _, c := range []struct {
		spoil func(*Section)
		want  []string
	}{
		{func(*Section) {}, nil},
		{func(s *Section) { s.Paths[1].Name = "a" }, []string{"paths[1].name: stands twice"}},
		{func(s *Section) { s.Pools[1].Name = "p" }, []string{"pools[1].name: stands twice"}},
		{func(s *Section) { s.Pools[0].Catalogue.Models[1].Name = "m" }, []string{"pools[0].catalogue.models[1].name: stands twice"}},
		{func(s *Section) { s.Paths[1].Prefix = "/a/" }, []string{"paths[1].prefix: path a has the same host and prefix"}},
		{func(s *Section) { s.Paths[2].Host = "H." }, []string{"paths[2].prefix: path a has the same host and prefix"}},
		{func(s *Section) { s.Paths[0].Shares[0].Pool = "z" }, []string{"paths[0].shares[0].pool: no such pool"}},
		{func(s *Section) { s.Paths[0].Shares[0].Weight = 0 }, []string{"paths[0].shares: the weights add up to 0"}},
		{func(s *Section) {
			s.Paths[0].Shares = []Share{{Pool: "p"}, {Pool: "q", Weight: 1 << 62}, {Pool: "p", Weight: 1 << 62}}
		}, nil},
		{func(s *Section) { s.Paths[0].Name, s.Paths[2].Shares[0].Pool = "c", "z" }, []string{"paths[2].name: stands twice", "paths[2].shares[0].pool: no such pool"}},
	} {
		s := sound()
		c.spoil(&s)
		if got := faults(s.Validate); !slices.Equal(got, c.want) {
			t.Errorf("told %v, want %v", got, c.want)
		}
	}
	twice := Patch{Upsert: Items{Paths: []Path{named("a", "h", "/"), named("a", "h", "/x/")}, Pools: []Pool{{Name: "p"}, {Name: "p"}}}}
	if got := faults(twice.Validate); !slices.Equal(got, []string{"upsert.paths[1].name: stands twice", "upsert.pools[1].name: stands twice"}) {
		t.Error(got)
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	index := NewIndex(&Section{Paths: []Path{named("root", "A.example", "/"), named("deep", "a.example", "/x/y/"), named("mid", "a.example", "/x/"), named("port", "b.example:99", "/")}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"}, {"A.EXAMPLE", "/x", "root"}, {"a.example.", "/x/", "mid"}, {"a.example:80", "/x/y", "mid"}, {"a.example", "/x/y/z?q=/", "deep"},
		{"b.example:99", "/p", "port"}, {"b.example", "/p", ""}, {"b.example:98", "/p", ""}, {"", "/", ""}, {"a.example", "", ""}, {"a.example", "*", ""},
	} {
		found, ok := index.Lookup(c.host, c.path)
		if ok != (c.want != "") || ok && found.Name != c.want {
			t.Errorf("%s%s leads to %+v, want %q", c.host, c.path, found, c.want)
		}
	}
}

// TestMergeAppliesUpsertsAndRemovals holds a merge against a plain model of what it means.
func TestMergeAppliesUpsertsAndRemovals(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	list := func(raw []uint8, mark string) (out []Path) {
		for _, one := range raw {
			path := named(fmt.Sprint(one%12), mark, fmt.Sprint("/", one%12, "/"))
			if !slices.ContainsFunc(out, func(p Path) bool { return p.Name == path.Name }) {
				out = append(out, path)
			}
		}
		return out
	}
	properties.Property("items keep their places, new ones come last, and the old section stays", prop.ForAll(func(old, upsert, remove []uint8) string {
		section := Section{Revision: 1, Paths: list(old, "old"), Pools: []Pool{{Name: "p"}}, Limits: Limits{MaxBodyBytes: 7}, Note: json.RawMessage(`{"a":1}`)}
		before, err := json.Marshal(section)
		if err != nil {
			return err.Error()
		}
		patch := Patch{Revision: 2, Upsert: Items{Paths: list(upsert, "new")}}
		for _, one := range remove {
			patch.Remove.Paths = append(patch.Remove.Paths, fmt.Sprint(one%12))
		}
		merged := section.Merge(&patch)
		var want []string
		for _, path := range section.Paths {
			switch {
			case slices.ContainsFunc(patch.Upsert.Paths, func(p Path) bool { return p.Name == path.Name }):
				want = append(want, "new"+path.Name)
			case !slices.Contains(patch.Remove.Paths, path.Name):
				want = append(want, "old"+path.Name)
			}
		}
		for _, path := range patch.Upsert.Paths {
			if !slices.ContainsFunc(section.Paths, func(p Path) bool { return p.Name == path.Name }) {
				want = append(want, "new"+path.Name)
			}
		}
		var got []string
		for _, path := range merged.Paths {
			got = append(got, path.Host+path.Name)
		}
		if !slices.Equal(got, want) {
			return fmt.Sprint(got, " and not ", want)
		}
		if merged.Revision != 2 || len(merged.Pools) != 1 || merged.Limits.MaxBodyBytes != 7 || string(merged.Note) != `{"a":1}` {
			return fmt.Sprintf("%+v", merged)
		}
		if after, err := json.Marshal(section); err != nil || string(after) != string(before) {
			return "the old section is another"
		}
		return ""
	}, gen.SliceOf(gen.UInt8()), gen.SliceOf(gen.UInt8()), gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

func TestMergeReplacesLimitsAndMergesNotes(t *testing.T) {
	section := Section{Limits: Limits{MaxBodyBytes: 7, MaxHeaderBytes: 8}, Note: json.RawMessage(`{"a":1,"b":2}`)}
	merged := section.Merge(&Patch{Limits: &Limits{MaxBodyBytes: 9}, Note: json.RawMessage(`{"b":3,"c":4}`)})
	if !reflect.DeepEqual(merged.Limits, Limits{MaxBodyBytes: 9}) || string(merged.Note) != `{"a":1,"b":3,"c":4}` {
		t.Errorf("%+v", merged)
	}
	for _, old := range []string{"", "null", "[1]"} {
		section.Note = json.RawMessage(old)
		if merged := section.Merge(&Patch{Note: json.RawMessage(`{"b":3}`)}); string(merged.Note) != `{"b":3}` {
			t.Errorf("%q: %s", old, merged.Note)
		}
	}
}

// TestPathsAddedLaterAreFoundAsTheFirstOnes guards against routes that are acknowledged and answered with 404, or led
// elsewhere: fifteen hundred come one change after the other, under hosts of their own and under those of the first.
func TestPathsAddedLaterAreFoundAsTheFirstOnes(t *testing.T) {
	const first, changes, eachChange, hosts = 8, 30, 50, 12
	section := Section{Pools: []Pool{{Name: "p"}}}
	made := func(number int) Path {
		return named(fmt.Sprint("route-", number), fmt.Sprintf("h%d.example", number%hosts), fmt.Sprintf("/r%d/", number))
	}
	for number := range first {
		section.Paths = append(section.Paths, made(number))
	}
	for change := range changes {
		patch := Patch{Revision: uint64(change + 2)}
		for number := range eachChange {
			patch.Upsert.Paths = append(patch.Upsert.Paths, made(first+change*eachChange+number))
		}
		section = section.Merge(&patch)
		index := NewIndex(&section)
		for number := range first + (change+1)*eachChange {
			want := made(number)
			if found, ok := index.Lookup(want.Host, want.Prefix+"x?y=1"); !ok || found.Name != want.Name {
				t.Fatalf("after %d changes %s%s leads to %+v", change+1, want.Host, want.Prefix, found)
			}
		}
	}
}
