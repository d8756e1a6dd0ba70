package daemon

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/daemon/ownership"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/affinity"
	"github.com/cresspond/cresspond/process/cluster/membership"
	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// assignmentLimit bounds a query to a session's owner; a daemon that gets no answer decides alone.
const assignmentLimit = 300 * time.Millisecond

// assignmentOwners returns the addresses of the two daemons that own a session's assignment. Any daemon can be an
// owner, whatever its roles, so that the restart of the only routing daemon loses none.
func (d *Daemon) assignmentOwners(session string) (first, second string) {
	// A draining daemon transfers its assignments, and takes no more.
	return affinity.Owners(session, d.readyPeers(3*time.Second, func(membership.Member) bool { return true }))
}

// queryAssignment queries one owner; nil means that it can't be reached.
func (d *Daemon) queryAssignment(owner string, request *peerapi.SeatRequest) *peerapi.SeatReply {
	if owner == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), assignmentLimit)
	defer cancel()
	query := d.links.Client(owner).Seat
	if owner == d.config.AdvertisedPeerAddress() {
		query = d.Seat
	}
	reply, err := query(ctx, request)
	if err != nil {
		return nil
	}
	return reply
}

// Assignment looks a session's assignment up, and remembers it here too, so that it outlives its owners.
func (r requestPath) Assignment(query dispatch.AssignmentQuery) (ident.EngineID, bool) {
	engine, found := r.findAssignment(query)
	if found {
		r.affinityTable.Record(r.clock.Elapsed(), query.Session, engine)
	}
	return engine, found
}

// findAssignment queries a session's owners. The first one decides. The second one has a replica, and knows better if
// the first is gone or has just restarted without its memory. If neither knows the session, and daemons were lost
// recently, all are queried.
func (r requestPath) findAssignment(query dispatch.AssignmentQuery) (ident.EngineID, bool) {
	if query.Engine != "" && query.Replaces == "" && r.peersLostRecently() {
		if engine, known := r.queryAllForAssignment(query.Session); known {
			query.Engine = engine
		}
	}
	first, second := r.assignmentOwners(query.Session)
	request := &peerapi.SeatRequest{
		Session:  query.Session,
		Model:    query.Model,
		Adapter:  query.Adapter,
		Engine:   string(query.Engine),
		Replaces: string(query.Replaces),
	}
	decided := r.queryAssignment(first, request)
	if decided != nil && (!decided.Found || !decided.Fresh) {
		return ident.EngineID(decided.Engine), decided.Found
	}
	copied := r.queryAssignment(second, request)
	switch {
	case copied == nil && decided == nil:
		// Owners that can't be reached must not hold up the session: the engine that was proposed stands.
		return query.Engine, query.Engine != ""
	case copied == nil:
		return ident.EngineID(decided.Engine), true
	case decided != nil && !copied.Fresh && copied.Found && copied.Engine != decided.Engine:
		// The first owner has lost the assignment, so it is told what the second one knows.
		r.queryAssignment(first, &peerapi.SeatRequest{
			Session:  query.Session,
			Engine:   copied.Engine,
			Replaces: decided.Engine,
		})
	}
	return ident.EngineID(copied.Engine), copied.Found
}

// peersLostRecently says whether daemons became unreachable or restarted so recently that assignments may be lost
// with them.
func (d *Daemon) peersLostRecently() bool {
	now := d.clock.Elapsed()
	for _, peer := range d.members.View().Members {
		sinceContact := now.Since(peer.LastContact)
		lost := sinceContact > slotOwnerWindow && sinceContact <= ownership.ContactWindow+ownership.UncertainWindow
		restarted := now.Since(peer.FirstContact) < ownership.UncertainWindow
		if peer.Ready && (lost || restarted) {
			return true
		}
	}
	return false
}

// queryAllForAssignment queries every daemon in contact for a session's assignment; the one used last counts.
func (d *Daemon) queryAllForAssignment(session string) (ident.EngineID, bool) {
	addresses := d.liveOwners().Addresses()
	replies := make(chan *peerapi.SeatReply, len(addresses))
	for _, address := range addresses {
		go func() { replies <- d.queryAssignment(address, &peerapi.SeatRequest{Session: session}) }()
	}
	var newest *peerapi.SeatReply
	for range addresses {
		if reply := <-replies; reply != nil && reply.Found && (newest == nil || reply.UsedMsAgo < newest.UsedMsAgo) {
			newest = reply
		}
	}
	if newest == nil {
		return "", false
	}
	return ident.EngineID(newest.Engine), true
}

// EndAssignment tells a session's owners that it has ended.
func (r requestPath) EndAssignment(session string) {
	first, second := r.assignmentOwners(session)
	// An owner that misses this forgets the assignment when it has been idle long enough.
	for _, owner := range []string{first, second} {
		r.queryAssignment(owner, &peerapi.SeatRequest{Session: session, Ended: true})
	}
}

// Seat answers queries about the sessions that this daemon owns. It is part of the peer protocol.
func (d *Daemon) Seat(_ context.Context, in *peerapi.SeatRequest) (*peerapi.SeatReply, error) {
	if in.Session == "" {
		return nil, twirp.NewError(twirp.InvalidArgument, "an assignment request needs a session")
	}
	if in.Ended {
		d.affinityTable.Delete(in.Session)
		return &peerapi.SeatReply{}, nil
	}
	if in.Engine == "" {
		// A lookup only: nothing is claimed, and it does not count as use.
		engine, used, found := d.affinityTable.Lookup(d.clock.Elapsed(), d.assignmentIdle(), in.Session)
		return &peerapi.SeatReply{Engine: string(engine), Found: found, UsedMsAgo: used.Milliseconds()}, nil
	}
	engine, found, fresh := d.affinityTable.Assign(d.clock.Elapsed(), d.assignmentIdle(), in.Session, ident.EngineID(in.Engine), ident.EngineID(in.Replaces))
	return &peerapi.SeatReply{Engine: string(engine), Found: found, Fresh: fresh}, nil
}

func (d *Daemon) assignmentIdle() time.Duration {
	if table := d.rollout.Table(); table != nil {
		return table.AssignmentIdle()
	}
	return time.Minute
}

// transferAssignments sends the assignments that this daemon owned to their new owners.
func (d *Daemon) transferAssignments(ctx context.Context, change *ownership.Change) {
	self := d.config.AdvertisedPeerAddress()
	unreached := map[string]bool{}
	for session, engine := range d.affinityTable.Assignments() {
		if ctx.Err() != nil || !change.OwnedBefore(session, self) {
			continue
		}
		for _, owner := range change.NewOwners(session) {
			if owner != self && !unreached[owner] {
				unreached[owner] = d.queryAssignment(owner, &peerapi.SeatRequest{
					Session: session,
					Engine:  string(engine),
				}) == nil
			}
		}
	}
}
