package forwarding

import "container/list"

// mostKeptParts bounds what is remembered of the parts sent to one engine.
const mostKeptParts = 512

// keptParts remembers, per engine, the parts of prompts that were sent there last.
type keptParts struct {
	order *list.List
	at    map[partKey]*list.Element
}

// partKey holds the model and adapter too: a part kept for one is of no use to another.
type partKey struct{ model, adapter, id string }

func newKeptParts() *keptParts { return &keptParts{order: list.New(), at: map[partKey]*list.Element{}} }

// note remembers the parts of a prompt.
func (k *keptParts) note(r *Record) {
	for _, part := range r.Ask.Parts {
		key := partKey{r.Ask.Model, r.Ask.Adapter, part.ID}
		if element, known := k.at[key]; known {
			k.order.MoveToFront(element)
			continue
		}
		k.at[key] = k.order.PushFront(key)
		if k.order.Len() > mostKeptParts {
			oldest := k.order.Back()
			delete(k.at, oldest.Value.(partKey))
			k.order.Remove(oldest)
		}
	}
}

// keptTokens counts the tokens of the parts, from the first on, that were sent there before.
func (k *keptParts) keptTokens(r *Record) int {
	tokens := 0
	for _, part := range r.Ask.Parts {
		if _, known := k.at[partKey{r.Ask.Model, r.Ask.Adapter, part.ID}]; !known {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
