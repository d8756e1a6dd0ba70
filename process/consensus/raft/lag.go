package raft

// BytesAfter is how many bytes the entries behind an index hold, as far as they are kept.
func (c *Core) BytesAfter(index Index) int {
	size := 0
	for at := len(c.log.entries) - 1; at >= 0 && c.log.entries[at].Index > index; at-- {
		size += len(c.log.entries[at].Data)
	}
	return size
}
