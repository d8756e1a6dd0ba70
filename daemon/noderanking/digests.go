package noderanking

import (
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// sendDigestsEvery is how often a daemon sends its measurements.
const sendDigestsEvery = time.Second

const (
	// maxClasses and maxBuckets bound what one message may hold of an engine.
	maxClasses = 500
	maxBuckets = 300
	// maxLevel is the highest class of load and of size: both are exponents of two.
	maxLevel = 64
)

// TakeDigests returns the measurements since the last call for the planner; nil if that was too recent.
func (r *Ranking) TakeDigests() []*peerapi.NodeDigest {
	if r.recorder == nil {
		return nil
	}
	now := r.config.Clock.Elapsed()
	r.sentMutex.Lock()
	defer r.sentMutex.Unlock()
	if now.Since(r.sentAt) < sendDigestsEvery {
		return nil
	}
	r.sentAt = now
	digests := r.recorder.TakeDigests()
	r.digestsSent.Add(uint64(len(digests)))
	return encodeDigests(digests)
}

// ReceiveDigests takes a peer's measurements, if this daemon is the planner.
func (r *Ranking) ReceiveDigests(in *peerapi.PullRequest) {
	if len(in.Nodes) == 0 || !r.enabled() || !r.config.Plans || !r.holdsLease() {
		return
	}
	// Measurements that find the mailbox full are dropped: the next message brings as many.
	r.mailbox.Offer(receivedDigests{ident.ZoneID(in.Zone), decodeDigests(r.host.RegisteredEngines(), in.Nodes)})
}

// encodeDigests groups digests by engine. The engine's pool is left out, since the planner knows it.
func encodeDigests(digests []nodehealth.Digest) []*peerapi.NodeDigest {
	var out []*peerapi.NodeDigest
	for _, digest := range digests {
		if len(out) == 0 || out[len(out)-1].Engine != string(digest.Engine) {
			out = append(out, &peerapi.NodeDigest{Engine: string(digest.Engine)})
		}
		class := &peerapi.NodeClass{
			Kind:     uint32(digest.Class.Kind),
			Model:    digest.Class.Model,
			TargetMs: digest.Class.TargetMs,
			Load:     uint32(digest.Class.Load),
			Size:     uint32(digest.Class.Size),
		}
		for _, bucket := range digest.Buckets {
			class.Values, class.Counts = append(class.Values, bucket.Value), append(class.Counts, bucket.Count)
		}
		last := out[len(out)-1]
		last.Classes = append(last.Classes, class)
	}
	return out
}

// decodeDigests decodes a peer's measurements; malformed ones, and those of unknown engines, are dropped.
func decodeDigests(view *registry.View, nodes []*peerapi.NodeDigest) []nodehealth.Digest {
	var out []nodehealth.Digest
	for _, node := range nodes {
		engine := view.Engines[ident.EngineID(node.Engine)]
		if engine == nil || len(node.Classes) > maxClasses {
			continue
		}
		for _, class := range node.Classes {
			if !wellFormed(class) {
				continue
			}
			digest := nodehealth.Digest{
				Engine: engine.ID,
				Class: nodehealth.Class{
					Kind:     nodehealth.Kind(class.Kind),
					Pool:     engine.Pool,
					Model:    class.Model,
					TargetMs: class.TargetMs,
					Load:     uint8(class.Load),
					Size:     uint8(class.Size),
				},
			}
			for place, value := range class.Values {
				digest.Buckets = append(digest.Buckets, nodehealth.Bucket{Value: value, Count: class.Counts[place]})
			}
			out = append(out, digest)
		}
	}
	return out
}

// wellFormed says whether a class that a peer sent can be decoded.
func wellFormed(class *peerapi.NodeClass) bool {
	return class.Kind <= uint32(nodehealth.Connect) && class.Load <= maxLevel && class.Size <= maxLevel &&
		len(class.Values) == len(class.Counts) && len(class.Values) <= maxBuckets
}
