package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/process/engines/admission"
	"github.com/cresspond/cresspond/process/engines/priority"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// slotOwnerWindow is how recent the last contact with a daemon must be for it to own slots.
	slotOwnerWindow = 1500 * time.Millisecond
	// slotWait is how long a request waits at the owner before it is prioritised anew here, slotRequestLimit bounds a
	// call to the owner, and slotReuseDelay is how long a released slot is not assigned again.
	slotWait         = 150 * time.Millisecond
	slotRequestLimit = 400 * time.Millisecond
	slotReuseDelay   = 10 * time.Millisecond
)

// slotOwner returns the address of the daemon that owns an engine's slots.
func (d *Daemon) slotOwner(engine ident.EngineID) string {
	routers := d.readyPeers(slotOwnerWindow, func(f membership.Member) bool { return f.Serves(string(daemonconfig.Route)) })
	owner, _ := affinity.Owners("engine "+string(engine), routers)
	return owner
}

// requestSlot asks the owner of an engine's slots for one. An owner that can't be reached must not hold up the
// attempt: the engine's own admission then bounds it.
func (d *Daemon) requestSlot(call *dispatch.Call, send dispatch.Send) (releaseSlot func(refused bool), granted bool) {
	owner := d.slotOwner(send.Engine)
	request := &peerapi.PermitRequest{
		Engine:        string(send.Engine),
		Id:            string(d.nodeID) + "/" + strconv.FormatUint(d.slotRequestIDs.Add(1), 10),
		NodeId:        string(d.nodeID),
		HasAssignment: send.Assigned,
		Value:         send.Value,
		Rank:          int64(send.Rank),
		Tenant:        send.Tenant,
	}
	client := peerapi.Fellow(d)
	if owner != "" && owner != d.config.AdvertisedPeerAddress() {
		client = d.links.Client(owner)
	}
	ctx, cancel := context.WithTimeout(call.Context(), slotRequestLimit)
	defer cancel()
	reply, err := client.Permit(ctx, request)
	if err != nil {
		d.counters.slotRequestsFailed.Add(1)
		return func(bool) {}, call.Context().Err() == nil
	}
	if !reply.Granted {
		return nil, false
	}
	return func(refused bool) {
		// An engine frees a slot a moment after its last byte, so the slot is not assigned again at once.
		time.AfterFunc(slotReuseDelay, func() {
			ctx, cancel := context.WithTimeout(context.Background(), slotRequestLimit)
			defer cancel()
			// An owner that misses this takes the slot back when the daemon is out of contact, or when its time is
			// over.
			_, _ = client.Permit(ctx, &peerapi.PermitRequest{
				Engine:  request.Engine,
				Id:      request.Id,
				Release: true,
				Refused: refused,
			})
		})
	}, true
}

// Permit serves requests for the slots that this daemon owns. It is part of the peer protocol.
func (d *Daemon) Permit(ctx context.Context, in *peerapi.PermitRequest) (*peerapi.PermitReply, error) {
	if in.Engine == "" || in.Id == "" {
		return nil, twirp.NewError(twirp.InvalidArgument, "a slot request needs an engine and an id")
	}
	if !d.config.Serves(daemonconfig.Route) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this daemon owns no slots, since it does not route")
	}
	if in.Release {
		d.engineSlots.Release(ident.EngineID(in.Engine), in.Id, in.Refused)
		return &peerapi.PermitReply{}, nil
	}
	granted := d.engineSlots.Acquire(ctx, admission.Request{
		ID:       in.Id,
		Node:     ident.NodeID(in.NodeId),
		Engine:   ident.EngineID(in.Engine),
		Key:      priority.Key{Assigned: in.HasAssignment, Value: in.Value, Rank: int(in.Rank), Tenant: in.Tenant},
		Deadline: d.clock.Elapsed() + clock.Mark(slotWait),
	})
	return &peerapi.PermitReply{Granted: granted}, nil
}

// slotView returns what the owner of slots decides by.
func (d *Daemon) slotView() admission.View {
	now, table, view := d.clock.Elapsed(), d.rollout.Table(), d.watcher.View()
	return admission.View{
		Now: now,
		Capacity: func(id ident.EngineID) int {
			engine, known := view.Engines[id]
			if table == nil || !known || !engine.Usable() {
				return 0
			}
			allowed, _ := table.Engine(id)
			return engine.Capacity(now, allowed.Slots)
		},
		Busy: func(id ident.EngineID) int {
			if engine, known := view.Engines[id]; known {
				return engine.Report.Busy
			}
			return 0
		},
		ReportRequested: func(id ident.EngineID) clock.Mark {
			if engine, known := view.Engines[id]; known {
				return engine.ReportRequested
			}
			return 0
		},
		Alive: func(node ident.NodeID) bool {
			peer, known := d.members.View().Members[node]
			return node == d.nodeID || known && now.Since(peer.LastContact) < 3*time.Second
		},
	}
}
