package upstream

import (
	"fmt"
	"strings"
)

// HostKey is the form in which hosts are compared: their case says nothing, nor does the root's dot.
func HostKey(host string) string { return strings.ToLower(strings.TrimSuffix(host, ".")) }

// Validate tells what is wrong with the section beyond the bounds of its single fields: names that stand
// twice, names that nothing bears, and paths between which no request could choose.
func (s *Section) Validate(say func(path, reason string)) {
	pools := make(map[string]bool, len(s.Pools))
	for i, pool := range s.Pools {
		if pools[pool.Name] {
			say(fmt.Sprintf("pools[%d].name", i), "stands twice")
		}
		pools[pool.Name] = true
		if pool.Catalogue == nil {
			continue
		}
		models := make(map[string]bool, len(pool.Catalogue.Models))
		for j, model := range pool.Catalogue.Models {
			if models[model.Name] {
				say(fmt.Sprintf("pools[%d].catalogue.models[%d].name", i, j), "stands twice")
			}
			models[model.Name] = true
		}
	}
	type place struct{ host, prefix string }
	names, places := make(map[string]bool, len(s.Paths)), make(map[place]string, len(s.Paths))
	for i, path := range s.Paths {
		if names[path.Name] {
			say(fmt.Sprintf("paths[%d].name", i), "stands twice")
		}
		names[path.Name] = true
		at := place{HostKey(path.Host), path.Prefix}
		if other, taken := places[at]; taken {
			say(fmt.Sprintf("paths[%d].prefix", i), "path "+other+" has the same host and prefix")
		}
		places[at] = path.Name
		weighted := false
		for j, share := range path.Shares {
			if !pools[share.Pool] {
				say(fmt.Sprintf("paths[%d].shares[%d].pool", i, j), "no such pool")
			}
			// Not added up: weights are bounded below by zero, and a sum might run over.
			weighted = weighted || share.Weight > 0
		}
		if len(path.Shares) > 0 && !weighted {
			say(fmt.Sprintf("paths[%d].shares", i), "the weights add up to 0")
		}
	}
}
