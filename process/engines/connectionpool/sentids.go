package connectionpool

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRequestsPerConnection is the number of requests after which a connection is closed, since the ids of all of them are
// kept; requests with an id of their own don't count.
const maxRequestsPerConnection = 512

// sentIDs holds the hashes of the ids of the requests that were sent on one connection. Two ids with the same hash count as
// one, which costs a new connection at most. It belongs to whoever holds the connection.
type sentIDs []uint64

func (s *sentIDs) add(id string) { *s = append(*s, xxhash.Sum64String(id)) }

func (s sentIDs) contains(id string) bool { return slices.Contains(s, xxhash.Sum64String(id)) }

// full reports whether the connection may carry no further request.
func (s sentIDs) full() bool { return len(s) >= maxRequestsPerConnection }
