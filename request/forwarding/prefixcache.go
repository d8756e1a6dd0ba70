package forwarding

import (
	"container/list"
)

// maxCachedPrefixParts bounds the prompt parts remembered for one engine.
const maxCachedPrefixParts = 512

// prefixCache is this daemon's guess at an engine's KV cache: an LRU list of the prompt parts sent there.
type prefixCache struct {
	recency  *list.List
	elements map[prefixPartKey]*list.Element
}

// prefixPartKey includes model and adapter, since a cached part serves one of them only.
type prefixPartKey struct{ model, adapter, id string }

// newPrefixCache makes an empty cache.
func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), elements: map[prefixPartKey]*list.Element{}}
}

// add records a prompt's parts as most recently used.
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

// cachedTokens counts the tokens of the prompt's leading parts that were sent there before.
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
