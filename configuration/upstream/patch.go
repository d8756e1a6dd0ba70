package upstream

import (
	"encoding/json"
	"fmt"
)

// Patch changes named items of a section and leaves all others as they are.
type Patch struct {
	// Revision is that of the section it makes.
	Revision uint64 `json:"revision"`
	// Upsert adds items, or puts them in the place of those of the same name.
	Upsert Items `json:"upsert"`
	Remove Names `json:"remove"`
	// Limits replaces all limits, where it is set.
	Limits *Limits `json:"limits,omitempty"`
	// Note is an object whose members replace those of the section's note.
	Note json.RawMessage `json:"note,omitempty"`
}

// Items are paths, pools and tenants.
type Items struct {
	Paths   []Path   `json:"paths,omitempty"`
	Pools   []Pool   `json:"pools,omitempty"`
	Tenants []Tenant `json:"tenants,omitempty"`
}

// Names name paths, pools and tenants.
type Names struct {
	Paths   []string `json:"paths,omitempty"`
	Pools   []string `json:"pools,omitempty"`
	Tenants []string `json:"tenants,omitempty"`
}

// Validate reports what is wrong with the patch by itself; its result is validated as a section.
func (p *Patch) Validate(report func(path, reason string)) {
	checkDuplicates(p.Upsert.Paths, pathName, "upsert.paths", report)
	checkDuplicates(p.Upsert.Pools, poolName, "upsert.pools", report)
	checkDuplicates(p.Upsert.Tenants, tenantName, "upsert.tenants", report)
}

func checkDuplicates[T any](items []T, name func(T) string, where string, report func(path, reason string)) {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		if seen[name(item)] {
			report(fmt.Sprintf("%s[%d].name", where, i), "stands twice")
		}
		seen[name(item)] = true
	}
}

func pathName(p Path) string     { return p.Name }
func poolName(p Pool) string     { return p.Name }
func tenantName(t Tenant) string { return t.Name }

// Merge gives the section that the patch makes of this one, which stays as it is. An item that is named both
// in Remove and in Upsert is there afterwards, in its old position.
func (s *Section) Merge(p *Patch) Section {
	out := *s
	out.Revision = p.Revision
	out.Paths = merge(s.Paths, p.Upsert.Paths, p.Remove.Paths, pathName)
	out.Pools = merge(s.Pools, p.Upsert.Pools, p.Remove.Pools, poolName)
	out.Tenants = merge(s.Tenants, p.Upsert.Tenants, p.Remove.Tenants, tenantName)
	out.KeysRequired = s.KeysRequired || len(s.Tenants) > 0 && len(out.Tenants) == 0
	if p.Limits != nil {
		out.Limits = *p.Limits
	}
	out.Note = MergeNotes(s.Note, p.Note)
	return out
}

func merge[T any](old, upsert []T, remove []string, name func(T) string) []T {
	put, removed := make(map[string]T, len(upsert)), make(map[string]bool, len(remove))
	for _, item := range upsert {
		put[name(item)] = item
	}
	for _, one := range remove {
		removed[one] = true
	}
	out := make([]T, 0, len(old)+len(upsert))
	for _, item := range old {
		if replacing, ok := put[name(item)]; ok {
			out = append(out, replacing)
			delete(put, name(item))
		} else if !removed[name(item)] {
			out = append(out, item)
		}
	}
	for _, item := range upsert {
		if _, new := put[name(item)]; new {
			out = append(out, item)
			delete(put, name(item))
		}
	}
	return out
}

// MergeNotes gives a note with the members of another one, which replace those of the same name.
func MergeNotes(old, changes json.RawMessage) json.RawMessage {
	if len(changes) == 0 {
		return old
	}
	var before, after map[string]json.RawMessage
	if json.Unmarshal(old, &before) != nil || json.Unmarshal(changes, &after) != nil || before == nil {
		return changes
	}
	for key, value := range after {
		before[key] = value
	}
	data, err := json.Marshal(before)
	if err != nil {
		panic("broken invariant: a note cannot be encoded: " + err.Error())
	}
	return data
}
