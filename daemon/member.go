package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/bootstrap"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	// firstRetry and mostRetry bound the pause before a data folder that could not be used is tried again.
	firstRetry = 200 * time.Millisecond
	mostRetry  = time.Second
	// damageLooks is how often a folder must look damaged before its files are set aside: they cannot come back.
	damageLooks = 2
	// firstDifferPause and mostDifferPause bound the pause before this daemon joins once more after its state differed
	// more than once: something is wrong with this machine or build, and joining over and over would not mend it.
	firstDifferPause = 10 * time.Second
	mostDifferPause  = 10 * time.Minute
	// joinEvery is how often a member that does not vote yet asks to be taken in.
	joinEvery = 250 * time.Millisecond
	// letGoLimit is how long a stopping daemon waits for its disk.
	letGoLimit = 500 * time.Millisecond
)

// superseded says that a folder belongs to a generation of the group that another has followed.
type superseded struct{ error }

// membershipLife is this daemon's own part in the control group: its data folder, and what runs on it.
// Trouble with the disk ends one such life and begins another, while the daemon goes on.
type membershipLife struct {
	store *store.Store
	// broken ends the life and says why.
	broken chan error
	cancel context.CancelFunc
}

// end ends the life; the first reason stays.
func (l *membershipLife) end(why error) {
	select {
	case l.broken <- why:
	default:
	}
	l.cancel()
}

// held is the data folder in use; nil while there is none.
func (d *Daemon) held() *store.Store {
	if life := d.memberLife.Load(); life != nil {
		return life.store
	}
	return nil
}

// openStore opens the data folder at the start, where a folder that can't be used is to end the daemon.
func (d *Daemon) openStore() (*store.Store, error) {
	if !d.config.Serves(daemonconfig.Control) || d.config.Trouble == daemonconfig.WaitOnTrouble {
		return nil, nil
	}
	return store.Open(d.config.Data, NewMember)
}

// runMember keeps this daemon in its group. Where the settings say to wait, trouble with the disk means that it
// steps aside, tries again with growing pauses, and joins as a new member if its files are damaged.
func (d *Daemon) runMember(ctx context.Context, opened *store.Store) {
	pause, looks := firstRetry, 0
	differed := differPauses{}
	for probe := false; ; probe = true {
		began := d.clock.Elapsed()
		err := d.runMemberLife(ctx, opened, probe)
		opened = nil
		if ctx.Err() != nil || d.memberEnds.Load() {
			return
		}
		if d.config.Trouble != daemonconfig.WaitOnTrouble {
			d.broken <- err
			return
		}
		d.counters.memberTroubles.Add(1)
		if d.clock.Elapsed().Since(began) > 2*mostRetry {
			// What held for a while was whole.
			pause, looks = firstRetry, 0
		}
		line := d.log.WithError(err)
		switch {
		case errors.As(err, new(*replica.StateDiffersError)):
			if err := store.SetAside(d.config.Data); err != nil {
				d.log.WithError(err).Warn("the state that differs cannot be set aside yet")
				break
			}
			pause = max(pause, differed.next())
			line.WithField("pause", pause.String()).Warn("gave up a state that differs from what a majority holds; joining as a new member")
		case errors.As(err, new(superseded)), store.IsDamage(err):
			if looks++; looks < damageLooks {
				line.Warn("the data folder looks damaged")
				break
			}
			// What was acknowledged is on a majority; what this folder held can't be trusted, nor may the
			// votes given under its identity be given again. A new identity has given none.
			looks = 0
			if err := store.SetAside(d.config.Data); err != nil {
				d.log.WithError(err).Warn("the damaged files cannot be set aside yet")
				break
			}
			line.Warn("set the damaged files aside; joining as a new member")
		case pause == firstRetry:
			line.Warn("out of the group until the disk can be used")
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		pause = min(2*pause, mostRetry)
	}
}

// differPauses are the pauses before joining anew with another state: none at first, then longer and longer.
type differPauses struct{ pause time.Duration }

func (p *differPauses) next() time.Duration {
	now := p.pause
	p.pause = min(max(firstDifferPause, 2*p.pause), mostDifferPause)
	return now
}

// runMemberLife opens the folder, finds the group and runs this member of it until trouble comes.
func (d *Daemon) runMemberLife(ctx context.Context, opened *store.Store, probe bool) error {
	if opened == nil {
		var err error
		if opened, err = store.Open(d.config.Data, NewMember); err != nil {
			return err
		}
	}
	defer opened.Close()
	if probe {
		// A disk that was full may still be.
		if err := opened.Probe(); err != nil {
			return err
		}
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	life := &membershipLife{store: opened, broken: make(chan error, 1), cancel: cancel}
	d.memberLife.Store(life)
	defer d.memberLife.Store(nil)
	if err := d.runControl(bounded, life); err != nil {
		life.end(err)
	}
	select {
	case err := <-life.broken:
		return err
	default:
		return ctx.Err()
	}
}

// runControl brings this member into its group, or forms it, and then runs it.
func (d *Daemon) runControl(ctx context.Context, life *membershipLife) error {
	group, restored, err := d.findGroup(ctx, life.store)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if !d.learnGroup(group) {
		return eris.Errorf("the data folder belongs to group %s, and fellows belong to %s", group, d.Group())
	}
	self := raft.Member{ID: life.store.Member, Name: d.config.Name, Address: d.config.ReachedAt()}
	if !remembers(life.store) {
		// A fresh member belongs to whichever generation addresses it first.
		group = ""
	}
	made, err := replica.New(self, group, restored, d.replicaConfig, d.clock, d.aroundDisk(life.store), d.links,
		replica.WithChanged(d.stateChanged), replica.WithTurned(d.groupTurned), replica.WithCounters(&d.counters.group), replica.WithNoticed(d.groupNotices()), replica.WithFatal(life.end))
	if err != nil {
		return eris.Wrap(err, "the data folder cannot be read")
	}
	d.replica.Store(made)
	defer d.replica.Store(nil)
	d.log.WithField("group", string(d.Group())).Info("member of the group")
	go d.runJoin(ctx, made, self)
	made.Run(ctx)
	return nil
}

// groupTurned writes down what changed in this member's part in the group.
func (d *Daemon) groupTurned(before, after replica.Condition) {
	line := d.log.WithField("term", uint64(after.Term))
	switch {
	case after.Leads && !before.Leads:
		line.Info("leads the group")
	case before.Leads && !after.Leads:
		line.Info("leads the group no more")
	case after.Stalled != before.Stalled:
		line.WithField("stalled", after.Stalled).Info("the disk holds this member up, or does no more")
	}
	if after.Leads && len(after.Differing) > 0 && !slices.Equal(before.Differing, after.Differing) {
		line.WithField("members", after.Differing).Warn("the states of these members differ from a majority's")
	}
	if after.Leads && !slices.Equal(before.Members.Members, after.Members.Members) {
		var voters, learners []string
		for _, member := range after.Members.Members {
			if member.Voter {
				voters = append(voters, member.Name)
			} else {
				learners = append(learners, member.Name)
			}
		}
		line.WithFields(log.Fields{"voters": voters, "learners": learners}).Info("the group has other members")
	}
}

// groupNotices writes down what members of the group noticed of each other. A snapshot that is refused again and
// again is one line.
func (d *Daemon) groupNotices() func(raft.Notice) {
	var refused raft.Notice
	return func(notice raft.Notice) {
		line := d.log.WithFields(log.Fields{"peer": uint64(notice.Peer), "index": uint64(notice.Index), "bytes": notice.Bytes})
		switch notice.Kind {
		case raft.NoticeSnapshotSent, raft.NoticeSnapshotTaken:
			line.Info(notice.Kind.String())
		case raft.NoticeSnapshotRefused:
			if notice.Peer != refused.Peer || notice.Index != refused.Index {
				line.WithError(notice.Err).Warn(notice.Kind.String())
			}
			refused = notice
		case raft.NoticeStateDiffers:
			// A leader's view of its peers is written down where it changes.
			if notice.Err != nil {
				line.WithError(notice.Err).Warn(notice.Kind.String())
			}
		}
	}
}

// seeds are the addresses at which the fleet may be found: those that were told, and the members of the group
// as this machine's disk remembers them, since the told ones may be gone.
func (d *Daemon) seeds() []string {
	out := d.current.Load().Seeds
	held := d.replica.Load()
	if held == nil {
		return out
	}
	out = slices.Clip(out)
	for _, member := range held.Condition().Members.Members {
		if member.Address != "" && !slices.Contains(out, member.Address) {
			out = append(out, member.Address)
		}
	}
	return out
}

// remembers says whether a data folder belongs to a group already.
func remembers(held *store.Store) bool {
	group, err := held.Group()
	return err != nil || group != ""
}

func (d *Daemon) findGroup(ctx context.Context, held *store.Store) (ident.GroupID, raft.Restored, error) {
	var none raft.Restored
	remembered, err := held.Group()
	if err != nil {
		return "", none, err
	}
	if remembered != "" {
		restored, err := held.Load()
		return remembered, restored, err
	}
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		decision, group, members := bootstrap.Decide(held.Member, d.askSeeds(ctx))
		switch decision {
		case bootstrap.Join:
			return group, none, nil
		case bootstrap.Form:
			return d.form(held, members)
		}
		select {
		case <-ctx.Done():
			return "", none, nil
		case group := <-d.adopted:
			return group, none, nil
		case <-ticker.C:
		}
	}
}

// form writes the first state of a new group; it counts once it is synced.
func (d *Daemon) form(held *store.Store, members raft.Membership) (ident.GroupID, raft.Restored, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("broken invariant: no randomness: " + err.Error())
	}
	group := ident.GroupID(hex.EncodeToString(raw[:]))
	first := raft.Snapshot{Index: 1, Term: 1, Membership: members, Data: statemachine.New().Snapshot()}
	if err := held.Write(group, raft.Save{HardState: raft.HardState{Term: 1}, Snapshot: &first}); err != nil {
		return "", raft.Restored{}, err
	}
	d.log.WithField("members", len(members.Members)).Info("formed a new group")
	restored, err := held.Load()
	return group, restored, err
}

// askSeeds asks all seeds who they are. Once one of them tells of a group nobody else is waited for: a seed
// that is gone for good must not hold up a machine that comes in its place.
func (d *Daemon) askSeeds(ctx context.Context) []bootstrap.Seed {
	seeds := d.Config().Seeds
	out := make([]bootstrap.Seed, len(seeds))
	type said struct {
		place    int
		identity *peerapi.Identity
	}
	answers := make(chan said, len(seeds))
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for place, address := range seeds {
		out[place].Address = address
		go func() {
			if address == d.config.ReachedAt() {
				answers <- said{place, d.identity()}
				return
			}
			// A seed that does not answer is told by its lack of an identity.
			identity, err := d.links.To(address).Identify(bounded, &peerapi.Empty{})
			if err != nil {
				identity = nil
			}
			answers <- said{place, identity}
		}()
	}
	for range seeds {
		answer := <-answers
		if answer.identity == nil {
			continue
		}
		out[answer.place] = seedOf(out[answer.place].Address, answer.identity)
		if answer.identity.Group != "" {
			break
		}
	}
	return out
}

func seedOf(address string, identity *peerapi.Identity) bootstrap.Seed {
	return bootstrap.Seed{Address: address, Answered: true, Member: raft.MemberID(identity.MemberId), Name: ident.NodeID(identity.NodeId).Name(),
		Group: ident.GroupID(identity.Group), ServesControl: identity.ServesControl, JoinOnly: identity.JoinOnly}
}

// runJoin asks to be taken in until this member votes.
func (d *Daemon) runJoin(ctx context.Context, made *replica.Replica, self raft.Member) {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		condition := made.Condition()
		member, known := condition.Members.Find(self.ID)
		leader := d.members.View().LeaderAddress
		if d.draining.Load() {
			// While it goes on, another that stands ready may take its place.
			if known && member.Voter && leader != "" && leader != self.Address {
				d.askToJoin(ctx, leader, self, true)
			}
			leader = ""
		}
		// One that hears no leader, while others do, may have been let go without its knowing.
		outside := !known || !member.Voter || condition.Leader.ID == 0
		if outside && leader != "" && leader != self.Address {
			d.askToJoin(ctx, leader, self, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// askToJoin tells the leader that this member wants to be taken in, or that it stops. It says whether the leader
// agreed: to one that stops, that nothing rests on its copy of the log. A lost call is made again on the next beat.
func (d *Daemon) askToJoin(ctx context.Context, leader string, self raft.Member, leaving bool) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := d.links.To(leader).Join(bounded, &peerapi.JoinRequest{Group: string(d.Group()), MemberId: uint64(self.ID), Name: self.Name, Address: self.Address, Leaving: leaving})
	return err == nil && reply.Outcome == string(replica.Applied)
}
