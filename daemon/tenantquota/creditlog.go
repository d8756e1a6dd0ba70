package tenantquota

import (
	"time"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
)

// logInterval is the shortest time between two log lines on one kind of change, so that a connection that comes and goes
// doesn't fill the log.
const logInterval = 10 * time.Second

// creditLog logs when a daemon begins to send on credit, and when all of that is reported to a leader. It belongs to the
// limiter's actor.
type creditLog struct {
	log log.Interface
	// open holds from a call that was not answered until nothing that was sent on credit is left to report.
	open bool
	// logged says that the beginning was logged, at loggedAt; notLogged counts beginnings that were not.
	logged    bool
	loggedAt  clock.Mark
	began     clock.Mark
	notLogged uint64
	// onCreditBefore is how much had been sent on credit when it began.
	onCreditBefore uint64
}

// begin notes that the leader did not answer.
func (c *creditLog) begin(cause error, onCredit uint64, now clock.Mark) {
	if c.open {
		return
	}
	c.open = true
	c.began = now
	c.onCreditBefore = onCredit
	c.logged = c.loggedAt == 0 || now.Since(c.loggedAt) >= logInterval
	if !c.logged {
		c.notLogged++
		return
	}
	c.loggedAt = now
	entry := c.log.WithError(cause).WithField("notLogged", c.notLogged)
	entry.Warn("quota: the leader does not answer; limited requests are decided on credit")
	c.notLogged = 0
}

// end notes that a leader answers and nothing is left to report.
func (c *creditLog) end(onCredit uint64, now clock.Mark) {
	if !c.open {
		return
	}
	c.open = false
	if !c.logged {
		return
	}
	c.log.WithFields(log.Fields{
		"onCredit": onCredit - c.onCreditBefore,
		"lastedMs": now.Since(c.began).Milliseconds(),
	}).Info("quota: credit is settled; the leader decides again")
}
