package engine

import (
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// cachedPart is one part of a prompt in the prefix cache; its key covers all parts before it too.
type cachedPart struct {
	key    string
	tokens int64
	// users counts the running requests with this part, used is when it was last used, in steps.
	users int
	used  uint64
}

// partKeys lists the cache keys of a prompt's parts.
func partKeys(prompt protocol.Prompt) []string {
	key := prompt.WriteModel() + "|"
	keys := make([]string, 0, len(prompt.Parts))
	for _, cached := range prompt.Parts {
		key += cached.ID + ","
		keys = append(keys, key)
	}
	return keys
}

func keyOwner(key string) string {
	for i := range key {
		if key[i] == '|' {
			return key[:i]
		}
	}
	return key
}

// DropCache drops all cached parts of a model, or of an adapter of it.
func (b *Batch) DropCache(owner string) {
	for key, cached := range b.cache {
		if cached.users == 0 && (keyOwner(key) == owner) {
			b.cachedTokens -= cached.tokens
			delete(b.cache, key)
		}
	}
}

// makeRoom evicts unused cached parts, least recently used first, until more tokens fit; false if they do not.
func (b *Batch) makeRoom(more int64) bool {
	if b.pace.Memory == 0 {
		return true
	}
	for {
		_, all := b.Memory()
		if all+more <= b.pace.Memory {
			return true
		}
		var oldest *cachedPart
		for _, cached := range b.cache {
			// Of parts last used at the same time the later in the prompt is evicted first; its key is longer.
			if cached.users == 0 && (oldest == nil || cached.used < oldest.used ||
				cached.used == oldest.used && (len(cached.key) > len(oldest.key) || len(cached.key) == len(oldest.key) && cached.key < oldest.key)) {
				oldest = cached
			}
		}
		if oldest == nil {
			return false
		}
		b.cachedTokens -= oldest.tokens
		delete(b.cache, oldest.key)
	}
}

// cacheParts adds the prefilled parts of a request to the cache.
func (b *Batch) cacheParts(job *Job) {
	keys := partKeys(job.Prompt)
	for i := len(job.pinned); i < len(keys); i++ {
		tokens := int64(job.Prompt.Parts[i].Tokens)
		cached := b.cache[keys[i]]
		if cached == nil {
			cached = &cachedPart{key: keys[i], tokens: tokens}
			b.cache[cached.key] = cached
			b.cachedTokens += tokens
		}
		// The request's own memory becomes the cache's.
		job.ownMemory = max(0, job.ownMemory-tokens)
		cached.users++
		cached.used = b.clock
		job.pinned = append(job.pinned, cached)
	}
}
