package forwarding

import (
	"container/list"
)

// mostKeptParts bounds what is remembered of the parts sent to one engine.
const maxCachedPrefixParts = 512

// keptParts remembers, per engine, the parts of prompts that were sent there last.
type prefixCache struct {
	recency  *list.List
	elements map[prefixPartKey]*list.Element
}

// partKey holds the model and adapter too: a part kept for one is of no use to another.
type prefixPartKey struct{ model, adapter, id string }

func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), elements: map[prefixPartKey]*list.Element{}}
}

// note remembers the parts of a prompt.
func (k *prefixCache) add(request *Request) {
	for _, part := range request.Attributes.Parts {
		key := prefixPartKey{request.Attributes.Model, request.Attributes.Adapter, part.ID}
		if element, known := k.elements[key]; known {
			k.recency.MoveToFront(element)
			continue
		}
		k.elements[key] = k.recency.PushFront(key)
		if k.recency.Len() > maxCachedPrefixParts {
			oldest := k.recency.Back()
			delete(k.elements, oldest.Value.(prefixPartKey))
			k.recency.Remove(oldest)
		}
	}
}

// keptTokens counts the tokens of the parts, from the first on, that were sent there before.
func (k *prefixCache) cachedTokens(request *Request) int {
	tokens := 0
	for _, part := range request.Attributes.Parts {
		if _, known := k.elements[prefixPartKey{request.Attributes.Model, request.Attributes.Adapter, part.ID}]; !known {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
