package raft

// BytesAfter is how many bytes the entries behind an index hold, as far as they are kept.
func (c *Core) BytesAfter(index Index) int {
	total := 0
	for position := len(c.raftLog.entries) - 1; position >= 0 && c.raftLog.entries[position].Index > index; position-- {
		total += len(c.raftLog.entries[position].Data)
	}
	return total
}
