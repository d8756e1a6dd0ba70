package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// singleOwner checks that orders to an engine come from one owner at a time, with growing fencing tokens.
func (b *index) singleOwner() Finding {
	f := Finding{Rule: "ONE"}
	byEngine := map[string][]*history.Order{}
	for _, order := range b.Orders {
		if order.Order.Fence == nil || order.Order.Owner == "" {
			continue
		}
		// Orders delayed by a freeze or a partition do not count.
		if b.disrupted(before(order.At, b.bounds.Unfreeze), order.At, func(t *history.Disruption) bool {
			return t.Until != 0 && t.Until <= order.At && (t.Kind == history.Frozen || t.Kind == history.Link)
		}) {
			continue
		}
		byEngine[order.Engine] = append(byEngine[order.Engine], order)
	}
	for _, engine := range slices.Sorted(maps.Keys(byEngine)) {
		holders, highest := map[uint64]string{}, uint64(0)
		var last *history.Order
		for _, order := range byEngine[engine] {
			f.Checked++
			fence, owner := *order.Order.Fence, order.Order.Owner
			if holder, known := holders[fence]; known && holder != owner {
				f.violation("%s: %s and %s share the fencing token %d", engine, holder, owner, fence)
			}
			holders[fence] = owner
			if fence < highest && !b.bounds.FenceChecked {
				f.violation("%s: fencing token %d after %d", engine, fence, highest)
			}
			highest = max(highest, fence)
			if last != nil && last.Order.Owner != owner && order.At.Since(last.At) < b.bounds.Lease {
				f.violation("%s: %s ordered %v after %s", engine, owner, order.At.Since(last.At).Round(time.Millisecond), last.Order.Owner)
			}
			last = order
		}
	}
	return f
}

// capacityLimit checks that no engine is ordered to load beyond its capacity.
func (b *index) capacityLimit() Finding {
	f := Finding{Rule: "LIMIT"}
	for _, order := range b.Orders {
		if order.Order.Operation != protocol.Load {
			continue
		}
		f.Checked++
		if order.OverCapacity {
			f.violation("%s was ordered to load %s %s beyond its capacity", order.Engine, order.Order.Model, order.Order.Adapter)
		}
	}
	return f
}

// loadRate checks that loads from the store of weights stay below their rate limit.
func (b *index) loadRate() Finding {
	f := Finding{Rule: "CEILING"}
	pace := map[string]float64{}
	for _, version := range b.versions {
		for _, backend := range version.Config.Backends {
			if backend.Engine != nil {
				pace[backend.Label] = max(pace[backend.Label], backend.Engine.LoadsPerS)
			}
		}
	}
	begun := map[string][]clock.Mark{}
	for _, order := range b.Orders {
		if !order.FromStore || order.Status != 202 {
			continue
		}
		if !b.coreSettled(order.At) || b.disrupted(order.At, order.At, func(t *history.Disruption) bool { return t.Kind == history.Link }) {
			continue
		}
		f.Checked++
		begun[order.Service] = append(begun[order.Service], order.At)
	}
	for _, service := range slices.Sorted(maps.Keys(begun)) {
		most := pace[service]*b.bounds.OriginWindow.Seconds()*b.bounds.OriginExcess + 3
		first := 0
		for last, at := range begun[service] {
			for at.Since(begun[service][first]) >= b.bounds.OriginWindow {
				first++
			}
			if count := last - first + 1; float64(count) > most {
				f.violation("%s: %d loads from the store within %v, where %.1f are allowed", service, count, b.bounds.OriginWindow, most)
				break
			}
		}
	}
	return f
}
