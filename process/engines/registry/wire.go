package registry

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/outlier"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Daemons share no clock, so moments are sent as milliseconds ago, or until.

const (
	// maxElapsed bounds what is read of moments: more would not fit into a duration, and turn the past into the future.
	maxElapsed = 365 * 24 * time.Hour
	// maxCount keeps sums of counts far from overflow.
	maxCount = 1 << 53
)

func millisecondsSince(now, earlier clock.Mark) int64 { return now.Since(earlier).Milliseconds() }

// momentAgo is the moment so many milliseconds before now; a negative number is one to come.
func momentAgo(now clock.Mark, milliseconds int64) clock.Mark {
	limit := maxElapsed.Milliseconds()
	return now - clock.Mark(time.Duration(min(max(milliseconds, -limit), limit))*time.Millisecond)
}

// clampCount brings a received count into the range from zero to maxCount.
func clampCount(count int64) int64 { return min(max(count, 0), maxCount) }

// Encode gives the wire form of records that are sent now.
func Encode(now clock.Mark, records []Record) []*peerapi.RegisteredEngine {
	out := make([]*peerapi.RegisteredEngine, 0, len(records))
	for _, record := range records {
		row := &peerapi.RegisteredEngine{
			Id: string(record.ID), CallSeq: record.CallSeq, Digest: record.Digest, LastContactMsAgo: millisecondsSince(now, record.LastHeartbeat),
			Departing: record.Draining, Unresponsive: record.TimedOut, Removed: record.Deregistered,
		}
		if record.Registration != nil {
			encodeRegistration(row, record.Registration)
		}
		if record.Plan != nil {
			row.Plan = encodePlan(now, record.Plan, record.PlanExtent)
			row.Plan.Digest = record.PlanDigest
		}
		out = append(out, row)
	}
	return out
}

// Decode reads records that were received at a moment; rows without an id are dropped.
func Decode(received clock.Mark, rows []*peerapi.RegisteredEngine) []Record {
	out := make([]Record, 0, len(rows))
	for _, row := range rows {
		if row.GetId() == "" {
			continue
		}
		record := Record{
			ID: ident.EngineID(row.Id), CallSeq: row.CallSeq, Digest: row.Digest, LastHeartbeat: momentAgo(received, max(0, row.LastContactMsAgo)),
			Draining: row.Departing, TimedOut: row.Unresponsive, Deregistered: row.Removed,
		}
		if row.HasReport {
			record.Registration = decodeRegistration(row)
		}
		if plan := row.Plan; plan != nil {
			record.Plan, record.PlanExtent, record.PlanDigest = decodePlan(received, plan), PlanExtent(plan.Detail), plan.Digest
		}
		out = append(out, record)
	}
	return out
}

func encodeRegistration(row *peerapi.RegisteredEngine, registration *Registration) {
	row.HasReport = true
	row.Pool, row.Address, row.Zone = registration.Pool, registration.Address, string(registration.Zone)
	row.Software, row.Slots, row.Phase = registration.Software, int64(registration.Slots), registration.Phase
	row.Draining, row.DrainMs, row.SlowStartMs = registration.Draining, registration.TerminatesInMs, registration.SlowStartMs
	row.Models = encodeModels(registration.Models)
}

func decodeRegistration(row *peerapi.RegisteredEngine) *Registration {
	return &Registration{
		ID: ident.EngineID(row.Id), Pool: row.Pool, Address: row.Address, Zone: ident.ZoneID(row.Zone), Software: row.Software,
		Slots: int(clampCount(row.Slots)), Draining: row.Draining, TerminatesInMs: clampCount(row.DrainMs),
		SlowStartMs: min(clampCount(row.SlowStartMs), maxElapsed.Milliseconds()), Phase: row.Phase, Models: decodeModels(row.Models), CallSeq: row.CallSeq,
	}
}

func encodePlan(now clock.Mark, plan *Plan, extent PlanExtent) *peerapi.EnginePlan {
	out := &peerapi.EnginePlan{Claim: uint64(plan.Claim), Turn: plan.Sequence, Detail: int64(extent)}
	if extent == VersionOnly {
		return out
	}
	out.Active, out.Queued, out.MemoryUsed, out.Memory = int64(plan.Active), int64(plan.Queued), plan.MemoryUsed, plan.Memory
	out.AgeMs = millisecondsSince(now, plan.Received)
	if extent == LoadsOnly {
		return out
	}
	out.Models, out.ModelsKnown = encodeModels(plan.Models), plan.Models != nil
	for _, target := range plan.Retiring {
		out.Retiring = append(out.Retiring, &peerapi.PlanTarget{Model: target.Model, Adapter: target.Adapter})
	}
	for _, pending := range plan.PendingLoads {
		out.Loading = append(out.Loading, &peerapi.PlanTarget{Model: pending.Model, Adapter: pending.Adapter, ReadyMs: -millisecondsSince(now, pending.Ready)})
	}
	for _, weight := range plan.Weights {
		out.Weights = append(out.Weights, &peerapi.EngineWeight{Zone: string(weight.Zone), Percent: int64(percent(weight.Fraction))})
	}
	return out
}

func decodePlan(received clock.Mark, plan *peerapi.EnginePlan) *Plan {
	out := &Plan{
		Claim: ident.FencingToken(plan.Claim), Sequence: plan.Turn, Active: int(clampCount(plan.Active)), Queued: int(clampCount(plan.Queued)),
		MemoryUsed: clampCount(plan.MemoryUsed), Memory: clampCount(plan.Memory), Received: momentAgo(received, max(0, plan.AgeMs)),
	}
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
