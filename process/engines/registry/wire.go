package registry

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Moments travel as how long ago, or how long until: daemons share no clock.

func millisecondsSince(now, earlier clock.Mark) int64 { return now.Since(earlier).Milliseconds() }

// mostAgo bounds what is read of moments: more would not fit into a duration, and turn the past into the future.
const maxElapsed = 365 * 24 * time.Hour

func momentAgo(now clock.Mark, ms int64) clock.Mark {
	most := maxElapsed.Milliseconds()
	return now - clock.Mark(time.Duration(min(max(ms, -most), most))*time.Millisecond)
}

// counted is a count or a time left as it was told; there is none below zero.
func clampCount(count int64) int64 { return min(max(count, 0), maxCount) }

// mostCounted keeps sums of counts far from overflow.
const maxCount = 1 << 53

// Encode gives the wire form of records, as told now.
func Encode(now clock.Mark, records []Record) []*peerapi.RegisteredEngine {
	out := make([]*peerapi.RegisteredEngine, 0, len(records))
	for _, r := range records {
		row := &peerapi.RegisteredEngine{Id: string(r.ID), CallSeq: r.CallSeq, Digest: r.Digest, LastContactMsAgo: millisecondsSince(now, r.LastHeartbeat),
			Departing: r.Draining, Unresponsive: r.TimedOut, Removed: r.Deregistered}
		if registration := r.Registration; registration != nil {
			row.HasReport, row.Draining = true, registration.Draining
			row.Pool, row.Address, row.Zone, row.Software, row.Slots = registration.Pool, registration.Address, string(registration.Zone), registration.Software, int64(registration.Slots)
			row.DrainMs, row.SlowStartMs, row.Phase, row.Models = registration.TerminatesInMs, registration.SlowStartMs, registration.Phase, encodeModels(registration.Models)
		}
		if plan := r.Plan; plan != nil {
			row.Plan = encodePlan(now, plan, r.PlanExtent)
			row.Plan.Digest = r.PlanDigest
		}
		out = append(out, row)
	}
	return out
}

// Decode reads records that were told at a moment; rows without an id are dropped.
func Decode(received clock.Mark, rows []*peerapi.RegisteredEngine) []Record {
	out := make([]Record, 0, len(rows))
	for _, row := range rows {
		if row.GetId() == "" {
			continue
		}
		r := Record{ID: ident.EngineID(row.Id), CallSeq: row.CallSeq, Digest: row.Digest, LastHeartbeat: momentAgo(received, max(0, row.LastContactMsAgo)),
			Draining: row.Departing, TimedOut: row.Unresponsive, Deregistered: row.Removed}
		if row.HasReport {
			r.Registration = &Registration{ID: r.ID, Pool: row.Pool, Address: row.Address, Zone: ident.ZoneID(row.Zone), Software: row.Software, Slots: int(clampCount(row.Slots)),
				Draining: row.Draining, TerminatesInMs: clampCount(row.DrainMs), SlowStartMs: min(clampCount(row.SlowStartMs), maxElapsed.Milliseconds()), Phase: row.Phase, Models: decodeModels(row.Models), CallSeq: row.CallSeq}
		}
		if plan := row.Plan; plan != nil {
			r.Plan, r.PlanExtent, r.PlanDigest = decodePlan(received, plan), PlanExtent(plan.Detail), plan.Digest
		}
		out = append(out, r)
	}
	return out
}

func encodePlan(now clock.Mark, plan *Plan, part PlanExtent) *peerapi.EnginePlan {
	out := &peerapi.EnginePlan{Claim: uint64(plan.Claim), Turn: plan.Sequence, Detail: int64(part)}
	if part == VersionOnly {
		return out
	}
	out.Active, out.Queued, out.MemoryUsed, out.Memory, out.AgeMs = int64(plan.Active), int64(plan.Queued), plan.MemoryUsed, plan.Memory, millisecondsSince(now, plan.Received)
	if part == LoadsOnly {
		return out
	}
	out.Models, out.ModelsKnown = encodeModels(plan.Models), plan.Models != nil
	for _, target := range plan.Retiring {
		out.Retiring = append(out.Retiring, &peerapi.PlanTarget{Model: target.Model, Adapter: target.Adapter})
	}
	for _, coming := range plan.PendingLoads {
		out.Loading = append(out.Loading, &peerapi.PlanTarget{Model: coming.Model, Adapter: coming.Adapter, ReadyMs: -millisecondsSince(now, coming.Ready)})
	}
	for _, weight := range plan.Weights {
		out.Weights = append(out.Weights, &peerapi.EngineWeight{Zone: string(weight.Zone), Percent: int64(percent(weight.Fraction))})
	}
	return out
}

func decodePlan(received clock.Mark, plan *peerapi.EnginePlan) *Plan {
	out := &Plan{Claim: ident.FencingToken(plan.Claim), Sequence: plan.Turn, Active: int(clampCount(plan.Active)), Queued: int(clampCount(plan.Queued)),
		MemoryUsed: clampCount(plan.MemoryUsed), Memory: clampCount(plan.Memory), Received: momentAgo(received, max(0, plan.AgeMs))}
	if plan.ModelsKnown {
		out.Models = decodeModels(plan.Models)
	}
	for _, target := range plan.Retiring {
		out.Retiring = append(out.Retiring, Target{target.Model, target.Adapter})
	}
	for _, target := range plan.Loading {
		out.PendingLoads = append(out.PendingLoads, PendingLoad{Target{target.Model, target.Adapter}, momentAgo(received, -target.ReadyMs)})
	}
	for _, weight := range plan.Weights {
		out.Weights = append(out.Weights, outlier.Weight{Zone: ident.ZoneID(weight.Zone), Fraction: float64(min(clampCount(weight.Percent), 100)) / 100})
	}
	return out
}

func encodeModels(models []LoadedModel) []*peerapi.LoadedModel {
	out := make([]*peerapi.LoadedModel, 0, len(models))
	for _, loaded := range models {
		out = append(out, &peerapi.LoadedModel{Model: loaded.Model, Generation: loaded.Generation, Adapters: loaded.Adapters})
	}
	return out
}

func decodeModels(models []*peerapi.LoadedModel) []LoadedModel {
	out := make([]LoadedModel, 0, len(models))
	for _, loaded := range models {
		out = append(out, LoadedModel{Model: loaded.Model, Generation: loaded.Generation, Adapters: loaded.Adapters})
	}
	return out
}
