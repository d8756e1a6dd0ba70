package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	fastjson "github.com/segmentio/encoding/json"
)

// maxKeysComparedPairwise is how many keys of one object are compared one by one; with more, a map is faster.
const maxKeysComparedPairwise = 24

// mayDuplicateKeys says quickly whether any object may have a key twice: documents of thousands of paths are
// valid as a rule, and where they aren't, duplicateKeys lists the paths.
func mayDuplicateKeys(data []byte) bool {
	type level struct {
		object bool
		few    [][]byte
		many   map[string]bool
	}
	var open []level
	// last is the delimiter before the token: a key of an object follows its brace or a comma.
	last := fastjson.Delim(0)
	for t := fastjson.NewTokenizer(data); t.Next(); {
		switch t.Delim {
		case '{', '[':
			if len(open) < cap(open) {
				// The memory of a level that was closed is used again.
				open = open[:len(open)+1]
			} else {
				open = append(open, level{})
			}
			in := &open[len(open)-1]
			in.object, in.few, in.many = t.Delim == '{', in.few[:0], nil
		case '}', ']':
			open = open[:max(0, len(open)-1)]
		case 0:
			if len(open) == 0 || !open[len(open)-1].object || last != '{' && last != ',' {
				break
			}
			key, in := []byte(t.Value), &open[len(open)-1]
			if bytes.IndexByte(key, '\\') >= 0 {
				key = []byte(`"` + string(t.String()) + `"`)
			}
			if in.many != nil {
				folded := strings.ToLower(string(key))
				if in.many[folded] {
					return true
				}
				in.many[folded] = true
				break
			}
			for _, other := range in.few {
				if bytes.EqualFold(other, key) {
					return true
				}
			}
			if in.few = append(in.few, key); len(in.few) > maxKeysComparedPairwise {
				in.many = make(map[string]bool, 2*maxKeysComparedPairwise)
				for _, one := range in.few {
					in.many[strings.ToLower(string(one))] = true
				}
			}
		}
		last = t.Delim
	}
	return false
}

// duplicateKeys walks the tokens, because the decoder would silently let the last of two keys win.
func duplicateKeys(data []byte) []Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var faults []Fault
	var walk func(path string) error
	walk = func(path string) error {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		delim, ok := token.(json.Delim)
		if !ok {
			return nil
		}
		seen := map[string]bool{}
		for index := 0; decoder.More(); index++ {
			below := fmt.Sprintf("%s[%d]", path, index)
			if delim == '{' {
				key, err := decoder.Token()
				if err != nil {
					return err
				}
				name := key.(string)
				below = strings.TrimPrefix(path+"."+name, ".")
				// The decoder takes names without regard to case, so two that differ only in case meet too.
				if seen[strings.ToLower(name)] {
					faults = append(faults, Fault{below, "stands twice"})
				}
				seen[strings.ToLower(name)] = true
			}
			if err := walk(below); err != nil {
				return err
			}
		}
		_, err = decoder.Token()
		return err
	}
	// Malformed JSON is reported by the decoder proper.
	if err := walk(""); err != nil {
		return nil
	}
	return faults
}
