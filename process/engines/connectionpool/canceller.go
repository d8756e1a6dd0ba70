package connectionpool

import (
	"sync"
)

// Canceller ends a request's attempts from another goroutine. Its zero value is ready for use.
type Canceller struct {
	mutex     sync.Mutex
	cancelled bool
	// interrupted reports that the current attempt was interrupted.
	interrupted bool
	stop        func()
}

// Cancel ends the current attempt, and any that begins later.
func (c *Canceller) Cancel() {
	c.mutex.Lock()
	stop := c.stop
	c.cancelled, c.stop = true, nil
	c.mutex.Unlock()
	if stop != nil {
		stop()
	}
}

// Cancelled reports whether Cancel was called.
func (c *Canceller) Cancelled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cancelled
}

// Interrupt ends the current attempt and none that begins later. It stops under the lock, so that it can't close a
// connection that was released meanwhile.
func (c *Canceller) Interrupt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stop != nil {
		c.stop()
		c.stop, c.interrupted = nil, true
	}
}

// arm sets what ends the current attempt, nil for none; it reports false if the attempt was ended already.
func (c *Canceller) arm(stop func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	going := !c.cancelled && (stop != nil || !c.interrupted)
	c.stop, c.interrupted = stop, false
	return going
}
