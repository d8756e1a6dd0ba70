package engine

import (
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// cachedPart is one part of a prompt that the engine keeps; it stands for all parts before it too.
type cachedPart struct {
	key    string
	tokens int64
	// users are running requests, used is when it last was.
	users int
	used  uint64
}

// partKeys gives the keys of a prompt's parts.
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

// DropCache drops all kept parts of a model, or of an adapter of it.
func (b *Batch) DropCache(owner string) {
	for key, cached := range b.cache {
		if cached.users == 0 && (keyOwner(key) == owner) {
			b.cachedTokens -= cached.tokens
			delete(b.cache, key)
		}
	}
}

// makeRoom makes room for more tokens by giving up kept parts, those unused longest first.
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
			// Of parts used at the same time the later in the prompt goes first; a key is longer the later it is.
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

// cacheParts turns what a request has read into parts that others can use.
func (b *Batch) cacheParts(job *Job) {
	keys := partKeys(job.Prompt)
	for place := len(job.pinned); place < len(keys); place++ {
		tokens := int64(job.Prompt.Parts[place].Tokens)
		cached := b.cache[keys[place]]
		if cached == nil {
			cached = &cachedPart{key: keys[place], tokens: tokens}
			b.cache[cached.key] = cached
			b.cachedTokens += tokens
		}
		// Its own copy becomes the common one.
		job.ownMemory = max(0, job.ownMemory-tokens)
		cached.users++
		cached.used = b.clock
		job.pinned = append(job.pinned, cached)
	}
}
