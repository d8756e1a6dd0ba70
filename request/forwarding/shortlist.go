package forwarding

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/process/featuregates"
)

// rendezvousReplicas is how many engines a prompt's shared parts are kept at, by rendezvous hashing. Few engines keep
// the parts together, and keep routers that see the same old report from all choosing the same engine.
const rendezvousReplicas = 2

// shortlist moves the candidates worth comparing to the front and gives them: the prompt's engines by rendezvous hash,
// the highest first; the one whose prefix cache is known to hold most of the prompt; one with an idle connection; and
// one drawn by the request. It reorders its argument.
func (c *Core) shortlist(request *Request, all []candidate, env Environment) []candidate {
	c.hashBuffer = append(c.hashBuffer[:0], request.Attributes.Model...)
	c.hashBuffer = append(append(append(append(c.hashBuffer, '/'), request.Attributes.Adapter...), '/'), affinityKey(request)...)
	length := len(c.hashBuffer)
	for index := range all {
		all[index].rendezvousHash = xxhash.Sum64(append(c.hashBuffer[:length], all[index].engine.ID...))
	}
	found := min(rendezvousReplicas, len(all))
	if c.settings.Disabled.Has(featuregates.PrefixOwners) {
		found = 0
	}
	for index := range found {
		selectInto(all, index, func(a, b candidate) bool { return a.rendezvousHash > b.rendezvousHash })
	}
	if len(request.Attributes.Parts) > 0 && len(all) > found && !c.settings.Disabled.Has(featuregates.PrefixCacheAffinity) {
		most := 0
		for _, option := range all[:found] {
			most = max(most, option.state.prefixes.cachedTokens(request))
		}
		selectInto(all, found, func(a, b candidate) bool {
			return a.state.prefixes.cachedTokens(request) > b.state.prefixes.cachedTokens(request)
		})
		if all[found].state.prefixes.cachedTokens(request) > most {
			found++
		}
	}
	if warm := slices.IndexFunc(all[found:], func(option candidate) bool { return c.hasIdleConnection(request, option.engine, env) }); warm >= 0 {
		all[found], all[found+warm] = all[found+warm], all[found]
		found++
	}
	if len(all) > found {
		// With a popular prefix its engines are not enough, and the overflow must not all go to the same one.
		at := found + int(xxhash.Sum64String(request.Attributes.Attempt)%uint64(len(all)-found))
		all[found], all[at] = all[at], all[found]
		found++
	}
	return all[:found]
}

// hasIdleConnection reports whether an idle connection to an engine could carry the request's attempt.
func (c *Core) hasIdleConnection(request *Request, engine *registry.Engine, env Environment) bool {
	return env.HasIdleConnection != nil && !c.settings.Disabled.Has(featuregates.WarmConnections) && env.HasIdleConnection(engine, request.pool, !request.mayRepeat())
}

// selectInto swaps the first candidate in order, of those from index on, to index.
func selectInto(all []candidate, index int, before func(a, b candidate) bool) {
	first := index
	for other := index + 1; other < len(all); other++ {
		if before(all[other], all[first]) {
			first = other
		}
	}
	all[index], all[first] = all[first], all[index]
}

// affinityKey is what a prompt shares with others: the id of its last part but one. The last part is the prompt's own,
// or its session's, so requests of a session go where their shared parts are and find their own there too.
func affinityKey(request *Request) string {
	if len(request.Attributes.Parts) == 0 {
		// Nothing is shared, so requests are spread.
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
