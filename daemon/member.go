package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// minMemberBackoff and maxMemberBackoff bound the backoff before a data folder that could not be used is tried
	// again.
	minMemberBackoff = 200 * time.Millisecond
	maxMemberBackoff = time.Second
	// damageConfirmations is how often a folder must look damaged before its files are moved aside, which can't be
	// undone.
	damageConfirmations = 2
	// minDifferBackoff and maxDifferBackoff bound the backoff before this daemon joins anew after its state has
	// differed more than once: something is wrong with this machine or build, and joining over and over would not
	// repair it.
	minDifferBackoff = 10 * time.Second
	maxDifferBackoff = 10 * time.Minute
	// memberStopLimit is how long a daemon that ends waits for its disk.
	memberStopLimit = 500 * time.Millisecond
)

// superseded is the error that a data folder belongs to a generation of the group that another has followed.
type superseded struct{ error }

// memberIncarnation is one incarnation of this daemon's member of the control group: its data folder and the replica
// on it. A disk fault ends one and begins another, while the daemon goes on.
type memberIncarnation struct {
	store *store.Store
	// failure gets the error that ends the incarnation.
	failure chan error
	cancel  context.CancelFunc
}

// fail ends the incarnation; the first error counts.
func (l *memberIncarnation) fail(why error) {
	select {
	case l.failure <- why:
	default:
	}
	l.cancel()
}

// dataFolder returns the data folder in use; nil while there is none.
func (d *Daemon) dataFolder() *store.Store {
	if incarnation := d.memberIncarnation.Load(); incarnation != nil {
		return incarnation.store
	}
	return nil
}

// openStore opens the data folder at the start, if one that can't be used is to end the daemon.
func (d *Daemon) openStore() (*store.Store, error) {
	if !d.config.Serves(daemonconfig.Control) || d.config.OnFault == daemonconfig.RetryOnFault {
		return nil, nil
	}
	return store.Open(d.config.DataDir, NewMember)
}

// runMember runs one incarnation of the member after another until ctx ends. Where the settings say to wait, a disk
// fault takes the member out of the group; the folder is tried again with a growing backoff, and damaged files are
// moved aside to join as a new member. Otherwise a fault ends the daemon.
func (d *Daemon) runMember(ctx context.Context, opened *store.Store) {
	backoff, damageCount := minMemberBackoff, 0
	stateDiffers := differBackoff{}
	for checkDisk := false; ; checkDisk = true {
		began := d.clock.Elapsed()
		err := d.runMemberIncarnation(ctx, opened, checkDisk)
		opened = nil
		if ctx.Err() != nil || d.memberRetired.Load() {
			return
		}
		if d.config.OnFault != daemonconfig.RetryOnFault {
			d.fatal <- err
			return
		}
		d.counters.memberFaults.Add(1)
		if d.clock.Elapsed().Since(began) > 2*maxMemberBackoff {
			// An incarnation that ran for a while had a sound folder.
			backoff, damageCount = minMemberBackoff, 0
		}
		entry := d.log.WithError(err)
		switch {
		case errors.As(err, new(statemachine.FeatureLevelError)):
			entry.Error("this build is too old for its data folder or group, and stays out of the control group")
		case errors.As(err, new(*replica.StateDivergedError)):
			if err := store.Quarantine(d.config.DataDir); err != nil {
				d.log.WithError(err).Warn("files of the diverged state cannot be moved aside yet")
				break
			}
			backoff = max(backoff, stateDiffers.next())
			entry.WithField("backoff", backoff.String()).Warn("discarded a state that diverged from a majority's; joining as a new member")
		case errors.As(err, new(superseded)), store.IsDamaged(err):
			if damageCount++; damageCount < damageConfirmations {
				entry.Warn("data folder looks damaged")
				break
			}
			// What was acknowledged is on a majority; what this folder held can't be trusted, nor may the votes that
			// were cast under its identity be cast again. A new identity has cast none.
			damageCount = 0
			if err := store.Quarantine(d.config.DataDir); err != nil {
				d.log.WithError(err).Warn("damaged files cannot be moved aside yet")
				break
			}
			entry.Warn("moved damaged files aside; joining as a new member")
		case backoff == minMemberBackoff:
			entry.Warn("out of the control group until the disk can be used")
		}
		timer := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		backoff = min(2*backoff, maxMemberBackoff)
	}
}

// differBackoff is the backoff before joining anew after the state has differed: none at first, then growing.
type differBackoff struct{ delay time.Duration }

func (p *differBackoff) next() time.Duration {
	current := p.delay
	p.delay = min(max(minDifferBackoff, 2*p.delay), maxDifferBackoff)
	return current
}

// runMemberIncarnation opens the folder, finds the group and runs this member until a fault ends it.
func (d *Daemon) runMemberIncarnation(ctx context.Context, opened *store.Store, checkDisk bool) error {
	if opened == nil {
		var err error
		if opened, err = store.Open(d.config.DataDir, NewMember); err != nil {
			return err
		}
	}
	defer opened.Close()
	if checkDisk {
		// The disk may still be full.
		if err := opened.CheckWritable(); err != nil {
			return err
		}
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	incarnation := &memberIncarnation{store: opened, failure: make(chan error, 1), cancel: cancel}
	d.memberIncarnation.Store(incarnation)
	defer d.memberIncarnation.Store(nil)
	if err := d.runReplica(bounded, incarnation); err != nil {
		incarnation.fail(err)
	}
	select {
	case err := <-incarnation.failure:
		return err
	default:
		return ctx.Err()
	}
}

// runReplica finds or bootstraps the group, and then runs this member of it.
func (d *Daemon) runReplica(ctx context.Context, incarnation *memberIncarnation) error {
	group, restored, err := d.findGroup(ctx, incarnation.store)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if !d.learnGroup(group) {
		return eris.Errorf("the data folder belongs to group %s, and its peers belong to group %s", group, d.Group())
	}
	self := raft.Member{ID: incarnation.store.MemberID, Name: d.config.Name, Address: d.config.AdvertisedPeerAddress()}
	if !belongsToGroup(incarnation.store) {
		// A new member belongs to whichever generation addresses it first.
		group = ""
	}
	made, err := replica.New(self, group, restored, d.replicaConfig, d.clock, d.wrapDisk(incarnation.store), d.links,
		replica.WithConfigurationChangeHandler(d.stateChanged),
		replica.WithStatusChangeHandler(d.memberStatusChanged),
		replica.WithCounters(&d.counters.group),
		replica.WithNoticeHandler(d.noticeLogger()),
		replica.WithFatalHandler(incarnation.fail))
	if err != nil {
		return eris.Wrap(err, "the data folder cannot be read")
	}
	d.replica.Store(made)
	defer d.replica.Store(nil)
	d.log.WithField("group", string(d.Group())).Info("runs as a member of the control group")
	go d.runJoin(ctx, made, self)
	made.Run(ctx)
	return nil
}
