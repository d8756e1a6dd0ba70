package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

// Loss describes one request that was not served, or whose response began after its target.
type Loss struct {
	Path, Model string
	Reason      Reason
	// BlockedBy names what blocked it when it could not be sent last.
	BlockedBy string
	// Resubmitted reports that it was probably rejected before.
	Resubmitted bool
	// Waited is how long the request was here, Queued how long of that it was queued, Attempts how many engines got it.
	Waited, Queued time.Duration
	Attempts       int
}

// LossKey is what losses are counted by. Models beyond maxLossKeys are counted under overflowModel.
type LossKey struct {
	Path, Model string
	Reason      Reason
}

const (
	// maxLossKeys bounds the counters of losses.
	maxLossKeys = 2_000
	// overflowModel stands for models that are not counted one by one.
	overflowModel = "other"
)

// recordLoss counts a request's loss, once, and passes it to Settings.ObserveLoss.
func (c *Core) recordLoss(request *Request, reason Reason, now clock.Mark) {
	if reason == ReasonNone || request.lossCounted {
		return
	}
	request.lossCounted = true
	loss := Loss{Model: request.Attributes.Model, Reason: reason, BlockedBy: BlockReasonNames[request.blockedBecause], Resubmitted: request.resubmitted, Waited: now.Since(request.ArrivedAt), Queued: request.queuedFor, Attempts: request.enginesTried}
	if request.Path != nil {
		loss.Path = request.Path.Name
	}
	key := LossKey{loss.Path, loss.Model, reason}
	if _, counted := c.losses[key]; !counted && len(c.losses) >= maxLossKeys {
		key.Model = overflowModel
	}
	c.losses[key]++
	if c.settings.ObserveLoss != nil {
		c.settings.ObserveLoss(loss)
	}
}

// Losses gives the number of losses by path, model and reason.
func (c *Core) Losses() map[LossKey]uint64 {
	out := make(map[LossKey]uint64, len(c.losses))
	for key, count := range c.losses {
		out[key] = count
	}
	return out
}
