package raft

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// checksum is over all that a snapshot is, but its membership: another build may write the same one in other bytes.
func (s Snapshot) checksum() []byte {
	hash := sha256.New()
	var position [16]byte
	binary.BigEndian.PutUint64(position[:8], uint64(s.Index))
	binary.BigEndian.PutUint64(position[8:], uint64(s.Term))
	_, _ = hash.Write(position[:])
	_, _ = hash.Write(s.Data)
	return hash.Sum(nil)
}

// sound says whether a snapshot is what its maker sent. One without a checksum can't be told.
func (s Snapshot) checksumMatches() bool {
	return len(s.Checksum) == 0 || bytes.Equal(s.Checksum, s.checksum())
}
