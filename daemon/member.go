package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/store"
	"github.com/cresspond/cresspond/process/daemonconfig"
)

const (
	// minMemberBackoff and mostRetry bound the pause before a data folder that could not be used is tried again.
	minMemberBackoff = 200 * time.Millisecond
	maxMemberBackoff = time.Second
	// damageConfirmations is how often a folder must look damaged before its files are set aside: they cannot come back.
	damageConfirmations = 2
	// minDifferBackoff and mostDifferPause bound the pause before this daemon joins once more after its state differed
	// more than once: something is wrong with this machine or build, and joining over and over would not mend it.
	minDifferBackoff = 10 * time.Second
	maxDifferBackoff = 10 * time.Minute
	// memberStopLimit is how long a stopping daemon waits for its disk.
	memberStopLimit = 500 * time.Millisecond
)

// superseded says that a folder belongs to a generation of the group that another has followed.
type superseded struct{ error }

// memberIncarnation is this daemon's own part in the control group: its data folder, and what runs on it.
// Trouble with the disk ends one such life and begins another, while the daemon goes on.
type memberIncarnation struct {
	store *store.Store
	// failure ends the life and says why.
	failure chan error
	cancel  context.CancelFunc
}

// fail ends the life; the first reason stays.
func (l *memberIncarnation) fail(why error) {
	select {
	case l.failure <- why:
	default:
	}
	l.cancel()
}

// dataFolder is the data folder in use; nil while there is none.
func (d *Daemon) dataFolder() *store.Store {
	if incarnation := d.memberIncarnation.Load(); incarnation != nil {
		return incarnation.store
	}
	return nil
}

// openStore opens the data folder at the start, where a folder that can't be used is to end the daemon.
func (d *Daemon) openStore() (*store.Store, error) {
	if !d.config.Serves(daemonconfig.Control) || d.config.OnFault == daemonconfig.RetryOnFault {
		return nil, nil
	}
	return store.Open(d.config.DataDir, NewMember)
}

// runMember keeps this daemon in its group. Where the settings say to wait, trouble with the disk means that it
// steps aside, tries again with growing pauses, and joins as a new member if its files are damaged.
func (d *Daemon) runMember(ctx context.Context, opened *store.Store) {
	backoff, damageCount := minMemberBackoff, 0
	stateDiffers := differBackoff{}
	for probeDisk := false; ; probeDisk = true {
		began := d.clock.Elapsed()
		err := d.runMemberIncarnation(ctx, opened, probeDisk)
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
			// What held for a while was whole.
			backoff, damageCount = minMemberBackoff, 0
		}
		entry := d.log.WithError(err)
		switch {
		case errors.As(err, new(*replica.StateDivergedError)):
			if err := store.Quarantine(d.config.DataDir); err != nil {
				d.log.WithError(err).Warn("the state that differs cannot be set aside yet")
				break
			}
			backoff = max(backoff, stateDiffers.next())
			entry.WithField("pause", backoff.String()).Warn("gave up a state that differs from what a majority holds; joining as a new member")
		case errors.As(err, new(superseded)), store.IsDamaged(err):
			if damageCount++; damageCount < damageConfirmations {
				entry.Warn("the data folder looks damaged")
				break
			}
			// What was acknowledged is on a majority; what this folder held can't be trusted, nor may the
			// votes given under its identity be given again. A new identity has given none.
			damageCount = 0
			if err := store.Quarantine(d.config.DataDir); err != nil {
				d.log.WithError(err).Warn("the damaged files cannot be set aside yet")
				break
			}
			entry.Warn("set the damaged files aside; joining as a new member")
		case backoff == minMemberBackoff:
			entry.Warn("out of the group until the disk can be used")
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

// differBackoff are the pauses before joining anew with another state: none at first, then longer and longer.
type differBackoff struct{ delay time.Duration }

func (p *differBackoff) next() time.Duration {
	current := p.delay
	p.delay = min(max(minDifferBackoff, 2*p.delay), maxDifferBackoff)
	return current
}

// runMemberIncarnation opens the folder, finds the group and runs this member of it until trouble comes.
func (d *Daemon) runMemberIncarnation(ctx context.Context, opened *store.Store, probeDisk bool) error {
	if opened == nil {
		var err error
		if opened, err = store.Open(d.config.DataDir, NewMember); err != nil {
			return err
		}
	}
	defer opened.Close()
	if probeDisk {
		// A disk that was full may still be.
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

// runReplica brings this member into its group, or forms it, and then runs it.
func (d *Daemon) runReplica(ctx context.Context, incarnation *memberIncarnation) error {
	group, restored, err := d.findGroup(ctx, incarnation.store)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if !d.learnGroup(group) {
		return eris.Errorf("the data folder belongs to group %s, and fellows belong to %s", group, d.Group())
	}
	self := raft.Member{ID: incarnation.store.MemberID, Name: d.config.Name, Address: d.config.AdvertisedPeerAddress()}
	if !belongsToGroup(incarnation.store) {
		// A fresh member belongs to whichever generation addresses it first.
		group = ""
	}
	made, err := replica.New(self, group, restored, d.replicaConfig, d.clock, d.wrapDisk(incarnation.store), d.links,
		replica.WithConfigurationChangeHandler(d.stateChanged), replica.WithStatusChangeHandler(d.logMemberChange), replica.WithCounters(&d.counters.group), replica.WithNoticeHandler(d.noticeLogger()), replica.WithFatalHandler(incarnation.fail))
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
