package upstream

import (
	"strconv"
	"strings"
)

// HasAdapter reports whether the model has an adapter of this name: a1, a2 and so on.
func (m *Model) HasAdapter(name string) bool {
	digits, named := strings.CutPrefix(name, "a")
	number, err := strconv.Atoi(digits)
	return named && err == nil && number >= 1 && number <= m.Adapters && strconv.Itoa(number) == digits
}
