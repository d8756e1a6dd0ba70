package forwarding

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// homes is how many engines, by rendezvous, a prompt's shared parts live on. Choosing between few keeps the
// parts together, and keeps daemons that look at the same old report from all running to the same engine.
const rendezvousReplicas = 2

// nearest moves the engines to choose from to the front, and gives them: a prompt's homes by rendezvous, in
// order, then the one that this daemon knows to have kept most of it, one that a connection is kept to, and one drawn by
// the request.
func (c *Core) shortlist(request *Request, all []candidate, env Environment) []candidate {
	c.hashBuffer = append(c.hashBuffer[:0], request.Attributes.Model...)
	c.hashBuffer = append(append(append(append(c.hashBuffer, '/'), request.Attributes.Adapter...), '/'), affinityKey(request)...)
	length := len(c.hashBuffer)
	for index := range all {
		all[index].rendezvousHash = xxhash.Sum64(append(c.hashBuffer[:length], all[index].engine.ID...))
	}
	found := min(rendezvousReplicas, len(all))
	if c.settings.Disabled.Has(featuregates.Homes) {
		found = 0
	}
	for index := range found {
		selectInto(all, index, func(a, b candidate) bool { return a.rendezvousHash > b.rendezvousHash })
	}
	if len(request.Attributes.Parts) > 0 && len(all) > found && !c.settings.Disabled.Has(featuregates.KeptPrefixes) {
		most := 0
		for _, one := range all[:found] {
			most = max(most, one.state.prefixes.cachedTokens(request))
		}
		selectInto(all, found, func(a, b candidate) bool {
			return a.state.prefixes.cachedTokens(request) > b.state.prefixes.cachedTokens(request)
		})
		if all[found].state.prefixes.cachedTokens(request) > most {
			found++
		}
	}
	if warm := slices.IndexFunc(all[found:], func(one candidate) bool { return c.hasIdleConnection(request, one.engine, env) }); warm >= 0 {
		all[found], all[found+warm] = all[found+warm], all[found]
		found++
	}
	if len(all) > found {
		// Any one besides: where many ask about one thing, its homes are not enough, and all must not run to the same.
		at := found + int(xxhash.Sum64String(request.Attributes.Attempt)%uint64(len(all)-found))
		all[found], all[at] = all[at], all[found]
		found++
	}
	return all[:found]
}

// warm says whether a connection to an engine is kept that a record's attempt could use.
func (c *Core) hasIdleConnection(request *Request, engine *registry.Engine, env Environment) bool {
	return env.HasIdleConnection != nil && !c.settings.Disabled.Has(featuregates.WarmConnections) && env.HasIdleConnection(engine, request.pool, !request.mayRepeat())
}

// bring swaps the first of those from place on to place.
func selectInto(all []candidate, index int, before func(a, b candidate) bool) {
	first := index
	for other := index + 1; other < len(all); other++ {
		if before(all[other], all[first]) {
			first = other
		}
	}
	all[index], all[first] = all[first], all[index]
}

// affinity is what a prompt shares with others: the last part is its own or its session's, so the one before
// that. Those of a session go where its shared parts are, and so meet its own there.
func affinityKey(request *Request) string {
	if len(request.Attributes.Parts) == 0 {
		// Nothing is shared, so each request goes its own way.
		return request.Attributes.Attempt
	}
	return request.Attributes.Parts[max(0, len(request.Attributes.Parts)-2)].ID
}

// sharedTokens counts the tokens of all parts but the last.
func sharedTokens(request *Request) int {
	tokens := 0
	for index := range len(request.Attributes.Parts) - 1 {
		tokens += request.Attributes.Parts[index].Tokens
	}
	return tokens
}
