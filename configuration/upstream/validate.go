package upstream

import (
	"fmt"
	"strings"
)

// HostKey is the form in which hosts are compared: without regard to case or the root's dot.
func HostKey(host string) string { return strings.ToLower(strings.TrimSuffix(host, ".")) }

// Validate reports what is wrong with the section beyond the bounds of its single fields: names that repeat,
// references to names that nothing has, and paths that a request could not choose between.
func (s *Section) Validate(report func(path, reason string)) {
	s.validateTenants(report)
	pools := make(map[string]bool, len(s.Pools))
	for i, pool := range s.Pools {
		if pools[pool.Name] {
			report(fmt.Sprintf("pools[%d].name", i), "stands twice")
		}
		pools[pool.Name] = true
		if pool.Catalogue == nil {
			continue
		}
		models := make(map[string]bool, len(pool.Catalogue.Models))
		for j, model := range pool.Catalogue.Models {
			if models[model.Name] {
				report(fmt.Sprintf("pools[%d].catalogue.models[%d].name", i, j), "stands twice")
			}
			models[model.Name] = true
		}
	}
	type location struct{ host, prefix string }
	names, locations := make(map[string]bool, len(s.Paths)), make(map[location]string, len(s.Paths))
	for i, path := range s.Paths {
		if names[path.Name] {
			report(fmt.Sprintf("paths[%d].name", i), "stands twice")
		}
		names[path.Name] = true
		at := location{HostKey(path.Host), path.Prefix}
		if other, taken := locations[at]; taken {
			report(fmt.Sprintf("paths[%d].prefix", i), "path "+other+" has the same host and prefix")
		}
		locations[at] = path.Name
		weighted := false
		for j, share := range path.Shares {
			if !pools[share.Pool] {
				report(fmt.Sprintf("paths[%d].shares[%d].pool", i, j), "no such pool")
			}
			// Not added up: weights are bounded below by zero, and a sum might overflow.
			weighted = weighted || share.Weight > 0
		}
		if len(path.Shares) > 0 && !weighted {
			report(fmt.Sprintf("paths[%d].shares", i), "the weights add up to 0")
		}
	}
}
