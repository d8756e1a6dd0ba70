package raft

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// checksum covers the whole snapshot except its membership, which another build may encode in other bytes.
func (s Snapshot) checksum() []byte {
	hash := sha256.New()
	var position [16]byte
	binary.BigEndian.PutUint64(position[:8], uint64(s.Index))
	binary.BigEndian.PutUint64(position[8:], uint64(s.Term))
	_, _ = hash.Write(position[:])
	_, _ = hash.Write(s.Data)
	return hash.Sum(nil)
}

// checksumMatches says whether a snapshot arrived unchanged. One without a checksum is accepted: earlier builds send none.
func (s Snapshot) checksumMatches() bool {
	return len(s.Checksum) == 0 || bytes.Equal(s.Checksum, s.checksum())
}
