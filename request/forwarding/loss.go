package forwarding

import (
	"time"

	"github.com/cresspond/cresspond/clock"
)

// Loss is one request that earned less than it could have.
type Loss struct {
	Path, Model string
	Reason      Reason
	// Lack is what it lacked when it last could not be sent.
	BlockedBy string
	// Returned says that it had come before and was refused.
	Resubmitted bool
	// Waited is how long it had been here, Held how long of that it was held, Attempts how many engines had it.
	Waited, Queued time.Duration
	Attempts       int
}

// LossKey is what losses are counted by. Models beyond mostLossKeys are counted under otherModels.
type LossKey struct {
	Path, Model string
	Reason      Reason
}

const (
	// mostLossKeys bounds the counters of losses.
	maxLossKeys = 2_000
	// otherModels is the model of losses that are not counted by model any more.
	overflowModel = "other"
)

// lost counts a loss, and tells it to whoever observes losses.
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

// Losses gives how many requests were lost or late, by path, model and reason.
func (c *Core) Losses() map[LossKey]uint64 {
	out := make(map[LossKey]uint64, len(c.losses))
	for key, count := range c.losses {
		out[key] = count
	}
	return out
}
