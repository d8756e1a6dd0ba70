package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/bootstrap"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// joinEvery is how often a member that does not vote yet asks the leader to join.
	joinEvery = 250 * time.Millisecond
	// outcomeRefused answers a member that the group does not admit; the result says why.
	outcomeRefused = "refused"
)

// NewMember returns a random identity for a new data folder.
func NewMember() raft.MemberID {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	return raft.MemberID(binary.BigEndian.Uint64(raw[:])>>1 | 1)
}

// seeds returns the addresses at which the fleet may be found: those of the settings, and the members of the group by
// this machine's disk, since the machines of the settings may be gone.
func (d *Daemon) seeds() []string {
	out := d.current.Load().Seeds
	groupMember := d.replica.Load()
	if groupMember == nil {
		return out
	}
	out = slices.Clip(out)
	for _, member := range groupMember.Status().Membership.Members {
		if member.Address != "" && !slices.Contains(out, member.Address) {
			out = append(out, member.Address)
		}
	}
	return out
}

// belongsToGroup says whether a data folder belongs to a group already, or can't be read.
func belongsToGroup(dataFolder *store.Store) bool {
	group, err := dataFolder.Group()
	return err != nil || group != ""
}

func (d *Daemon) findGroup(ctx context.Context, dataFolder *store.Store) (ident.GroupID, raft.PersistentState, error) {
	var none raft.PersistentState
	remembered, err := dataFolder.Group()
	if err != nil {
		return "", none, err
	}
	if remembered != "" {
		restored, err := dataFolder.Load()
		return remembered, restored, err
	}
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		decision := bootstrap.Decide(dataFolder.MemberID, d.identifySeeds(ctx))
		switch decision.Action {
		case bootstrap.Join:
			return decision.Group, none, nil
		case bootstrap.Bootstrap:
			return d.bootstrapGroup(dataFolder, decision.Membership)
		}
		select {
		case <-ctx.Done():
			return "", none, nil
		case group := <-d.adoptedGroup:
			return group, none, nil
		case <-ticker.C:
		}
	}
}

// bootstrapGroup writes the first state of a new group, which exists once that is synced.
func (d *Daemon) bootstrapGroup(dataFolder *store.Store, members raft.Membership) (ident.GroupID, raft.PersistentState, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	group := ident.GroupID(hex.EncodeToString(raw[:]))
	first := raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}
	if err := dataFolder.Write(group, raft.Save{HardState: raft.HardState{Term: 1}, Snapshot: &first}); err != nil {
		return "", raft.PersistentState{}, err
	}
	d.log.WithField("members", len(members.Members)).Info("bootstrapped a new control group")
	restored, err := dataFolder.Load()
	return group, restored, err
}

// identifySeeds asks all seeds at once who they are. Once one of them knows a group the others are not waited for: a
// seed that is gone for good must not hold up the machine that replaces it.
func (d *Daemon) identifySeeds(ctx context.Context) []bootstrap.SeedStatus {
	seeds := d.Config().Seeds
	out := make([]bootstrap.SeedStatus, len(seeds))
	type seedReply struct {
		index    int
		identity *peerapi.Identity
	}
	answers := make(chan seedReply, len(seeds))
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for index, address := range seeds {
		out[index].Address = address
		go func() {
			if address == d.config.AdvertisedPeerAddress() {
				answers <- seedReply{index, d.identity()}
				return
			}
			// A seed that does not answer has no identity.
			identity, err := d.links.Client(address).Identify(bounded, &peerapi.Empty{})
			if err != nil {
				identity = nil
			}
			answers <- seedReply{index, identity}
		}()
	}
	for range seeds {
		answer := <-answers
		if answer.identity == nil {
			continue
		}
		out[answer.index] = seedOf(out[answer.index].Address, answer.identity)
		if answer.identity.Group != "" {
			break
		}
	}
	return out
}

func seedOf(address string, identity *peerapi.Identity) bootstrap.SeedStatus {
	return bootstrap.SeedStatus{
		Address:       address,
		Reachable:     true,
		Member:        raft.MemberID(identity.MemberId),
		Name:          ident.NodeID(identity.NodeId).Name(),
		Group:         ident.GroupID(identity.Group),
		ServesControl: identity.ServesControl,
		JoinOnly:      identity.JoinOnly,
	}
}

// runJoin asks the leader to join until this member votes, and while draining to leave. It runs on a goroutine of its
// own until ctx, that of the member's incarnation, ends.
func (d *Daemon) runJoin(ctx context.Context, made *replica.Replica, self raft.Member) {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		condition := made.Status()
		member, known := condition.Membership.Find(self.ID)
		leader := d.members.View().LeaderAddress
		if d.draining.Load() {
			// While this member goes on, a learner may be promoted in its stead.
			if known && member.Voter && leader != "" && leader != self.Address {
				d.requestJoin(ctx, leader, self, true)
			}
			leader = ""
		}
		// A member without a leader may have been removed without its knowing, if others do have one.
		outside := !known || !member.Voter || condition.Leader.ID == 0
		if outside && leader != "" && leader != self.Address {
			d.requestJoin(ctx, leader, self, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// requestJoin tells the leader that this member wants to join, or with leaving that it stops. It returns whether the
// leader agreed: for a member that stops, that nothing depends on its copy of the log. A call that is lost is made
// again at the next tick.
func (d *Daemon) requestJoin(ctx context.Context, leader string, self raft.Member, draining bool) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := d.links.Client(leader).Join(bounded, &peerapi.JoinRequest{
		Group:        string(d.Group()),
		MemberId:     uint64(self.ID),
		Name:         self.Name,
		Address:      self.Address,
		Leaving:      draining,
		FeatureLevel: uint32(d.replicaConfig.FeatureLevel),
		Incarnation:  d.replicaConfig.Incarnation,
	})
	if err == nil && reply.Outcome == outcomeRefused {
		d.logJoinRefused(reply.Result)
	}
	return err == nil && reply.Outcome == string(replica.Applied)
}

// logJoinRefused logs, once for each refusal, that the group does not admit this build.
func (d *Daemon) logJoinRefused(refusal []byte) {
	var why statemachine.FeatureLevelError
	if json.Unmarshal(refusal, &why) != nil || d.joinRefused.Swap(uint32(why.Found)) == uint32(why.Found) {
		return
	}
	d.log.WithError(why).WithFields(log.Fields{"level": why.Found, "supported": why.Supported}).Error("this build is too old for the control group: it is not admitted")
}

// Join adds a member to the group or lets one leave, if this daemon leads. It is part of the peer protocol.
func (d *Daemon) Join(ctx context.Context, in *peerapi.JoinRequest) (*peerapi.SubmitReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	groupMember := d.replica.Load()
	if groupMember == nil || !groupMember.Status().IsLeader {
		return d.notLeaderReply(), nil
	}
	if in.MemberId == 0 || in.Name == "" || in.Address == "" || in.Group == "" {
		return nil, twirp.NewError(twirp.InvalidArgument, "a member needs an identity, a name and an address")
	}
	if in.Leaving {
		if groupMember.AnnounceLeaving(ctx, raft.MemberID(in.MemberId), in.Incarnation) {
			return &peerapi.SubmitReply{Outcome: string(replica.Applied)}, nil
		}
		// The member must not end yet.
		return &peerapi.SubmitReply{Outcome: string(replica.Unknown)}, nil
	}
	level := statemachine.FeatureLevel(in.FeatureLevel)
	if required := groupMember.Status().FeatureLevel; level < required {
		refusal, err := json.Marshal(statemachine.FeatureLevelError{Found: required, Supported: level})
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		return &peerapi.SubmitReply{Outcome: outcomeRefused, Result: refusal}, nil
	}
	groupMember.Join(raft.Member{ID: raft.MemberID(in.MemberId), Name: in.Name, Address: in.Address}, level)
	return &peerapi.SubmitReply{Outcome: string(replica.Applied)}, nil
}
