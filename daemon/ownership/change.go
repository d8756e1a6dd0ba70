package ownership

import (
	"maps"
	"slices"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
)

// Daemons are the daemons that can own keys: the incarnation at each address.
type Daemons map[string]ident.NodeID

// Addresses returns the sorted addresses.
func (d Daemons) Addresses() []string { return slices.Sorted(maps.Keys(d)) }

// Change is a change of the daemons that can own keys.
type Change struct {
	before, after                   Daemons
	addressesBefore, addressesAfter []string
}

// NewChange returns the change from one set of daemons to another.
func NewChange(before, after Daemons) *Change {
	return &Change{before: before, after: after, addressesBefore: before.Addresses(), addressesAfter: after.Addresses()}
}

// Empty says whether nothing has changed: neither the addresses nor the incarnations.
func (c *Change) Empty() bool { return maps.Equal(c.before, c.after) }

// NewIncarnations lists the addresses at which another incarnation is than before, or one where there was none.
func (c *Change) NewIncarnations() []string {
	var out []string
	for _, address := range c.addressesAfter {
		if c.before[address] != c.after[address] {
			out = append(out, address)
		}
	}
	return out
}

// OwnedBefore says whether a key was owned by the daemon at an address.
func (c *Change) OwnedBefore(key, address string) bool {
	first, second := affinity.Owners(key, c.addressesBefore)
	return first == address || second == address
}

// NewOwners lists the owners that a key has now and did not have before, in the same incarnation.
func (c *Change) NewOwners(key string) []string {
	oldFirst, oldSecond := affinity.Owners(key, c.addressesBefore)
	newFirst, newSecond := affinity.Owners(key, c.addressesAfter)
	var out []string
	for _, owner := range []string{newFirst, newSecond} {
		if owner != "" && ((owner != oldFirst && owner != oldSecond) || c.before[owner] != c.after[owner]) {
			out = append(out, owner)
		}
	}
	return out
}
