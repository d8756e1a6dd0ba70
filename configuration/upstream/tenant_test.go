package upstream

import (
	"slices"
	"strings"
	"testing"
)

// Guards against two tenants that share a key, so that work is done in another's name.
func TestTenantsWithSameKeyOrNameAreInvalid(t *testing.T) {
	for name, c := range map[string]struct {
		tenants []Tenant
		want    []string
	}{
		"sound":                    {[]Tenant{{Name: "a", Keys: []string{"k", "l"}}, {Name: "b", Keys: []string{"m"}}, {Name: "c"}}, nil},
		"a key twice with one":     {[]Tenant{{Name: "a", Keys: []string{"k", "k"}}}, nil},
		"a key of two":             {[]Tenant{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"m", "k"}}}, []string{"tenants[1].keys[1]: tenant a has the same key"}},
		"a name that stands twice": {[]Tenant{{Name: "a"}, {Name: "a"}}, []string{"tenants[1].name: stands twice"}},
		"keys that differ in case": {[]Tenant{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"K"}}}, nil},
	} {
		section := Section{Tenants: c.tenants}
		if got := faults(section.Validate); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against keys in answers and logs.
func TestFaultsOfTenantsHoldNoKeys(t *testing.T) {
	section := Section{Tenants: []Tenant{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}}
	if got := strings.Join(faults(section.Validate), " "); got == "" || strings.Contains(got, "secret") {
		t.Errorf("%q", got)
	}
}

func TestKeyBelongsToTenantOfNewestSection(t *testing.T) {
	section := Section{Paths: []Path{named("closed", "h", "/"), named("open", "h", "/open/")}, Tenants: []Tenant{{Name: "a", Keys: []string{"k", "l"}}}}
	section.Paths[1].Public = true
	holder := func(index *Index, key string) string {
		if tenant, known := index.TenantOf(key); known {
			return tenant.Name
		}
		return ""
	}
	before := NewIndex(&section)
	moved := section.Merge(&Patch{Revision: 2, Upsert: Items{Tenants: []Tenant{{Name: "a", Keys: []string{"l"}}, {Name: "b", Keys: []string{"k"}}}}})
	removed := moved.Merge(&Patch{Revision: 3, Remove: Names{Tenants: []string{"a"}}})
	for name, c := range map[string]struct {
		index *Index
		want  [3]string
	}{
		"before":  {before, [3]string{"a", "a", ""}},
		"moved":   {NewIndex(&moved), [3]string{"b", "a", ""}},
		"removed": {NewIndex(&removed), [3]string{"b", "", ""}},
	} {
		if got := [3]string{holder(c.index, "k"), holder(c.index, "l"), holder(c.index, "")}; got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	closed, open := &section.Paths[0], &section.Paths[1]
	if !before.RequiresKey(closed) || before.RequiresKey(open) || NewIndex(&Section{}).RequiresKey(closed) {
		t.Error("a key is needed where there are tenants, except on public paths")
	}
}

// Guards against paths that are open to everyone once a patch has removed the last tenant, so that withdrawn keys serve again.
func TestKeysAreRequiredAfterLastTenantIsRemoved(t *testing.T) {
	section := Section{Revision: 1, Paths: []Path{named("closed", "h", "/")}, Tenants: []Tenant{{Name: "a", Keys: []string{"k"}}}}
	removed := section.Merge(&Patch{Revision: 2, Remove: Names{Tenants: []string{"a"}}})
	later := removed.Merge(&Patch{Revision: 3})
	for name, merged := range map[string]*Section{"removed": &removed, "later": &later} {
		if index := NewIndex(merged); !index.RequiresKey(&merged.Paths[0]) {
			t.Errorf("%s: the path is open", name)
		}
	}
	never := (&Section{Paths: section.Paths}).Merge(&Patch{Revision: 2})
	if NewIndex(&never).RequiresKey(&never.Paths[0]) {
		t.Error("a section that never had tenants requires a key")
	}
}
