// Package loopback allocates loopback addresses that nobody else uses: no outgoing connection and no other process can
// be given their ports.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var given atomic.Int64

// Host allocates an address.
func Host() string {
	n := int(given.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 194+os.Getpid()>>8&0x1f, os.Getpid()&0xff, 1+n%250)
}
