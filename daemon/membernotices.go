package daemon

import (
	"slices"

	"github.com/apex/log"

	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/replica"
)

// memberStatusChanged is called when this member's part in the group has changed.
func (d *Daemon) memberStatusChanged(before, after replica.Status) {
	if after.IsLeader {
		d.quotaAllotter.Lead(d.leadershipOf(after), d.clock.Elapsed())
	}
	d.logMemberChange(before, after)
}

// logMemberChange logs what changed in this member's part in the group.
func (d *Daemon) logMemberChange(before, after replica.Status) {
	entry := d.log.WithField("term", uint64(after.Term))
	switch {
	case after.IsLeader && !before.IsLeader:
		entry.Info("became leader of the control group")
	case before.IsLeader && !after.IsLeader:
		entry.Info("lost the leadership of the control group")
	case after.DiskStalled != before.DiskStalled:
		entry.WithField("stalled", after.DiskStalled).Info("disk stall of this member began or ended")
	}
	if after.IsLeader && len(after.DivergentMembers) > 0 && !slices.Equal(before.DivergentMembers, after.DivergentMembers) {
		entry.WithField("members", after.DivergentMembers).Warn("state of members diverged from a majority's")
	}
	if after.IsLeader && !slices.Equal(before.Membership.Members, after.Membership.Members) {
		var voters, learners []string
		for _, member := range after.Membership.Members {
			if member.Voter {
				voters = append(voters, member.Name)
			} else {
				learners = append(learners, member.Name)
			}
		}
		entry.WithFields(log.Fields{
			"voters":   voters,
			"learners": learners,
		}).Info("membership of the control group changed")
	}
}

// noticeLogger returns a function that logs what members of the group notice of each other. A snapshot that is
// rejected over and over is logged once.
func (d *Daemon) noticeLogger() func(raft.Notice) {
	var refused raft.Notice
	return func(notice raft.Notice) {
		entry := d.log.WithFields(log.Fields{
			"peer":  uint64(notice.Peer),
			"index": uint64(notice.Index),
			"bytes": notice.Bytes,
		})
		switch notice.Kind {
		case raft.NoticeSnapshotSent, raft.NoticeSnapshotInstalled:
			entry.Info(notice.Kind.String())
		case raft.NoticeSnapshotRejected:
			if notice.Peer != refused.Peer || notice.Index != refused.Index {
				entry.WithError(notice.Err).Warn(notice.Kind.String())
			}
			refused = notice
		case raft.NoticeStateInvalid:
			entry.WithError(notice.Err).Error(notice.Kind.String())
		case raft.NoticeStateDiffers:
			// A leader's view of its peers is logged by logMemberChange.
			if notice.Err != nil {
				entry.WithError(notice.Err).Warn(notice.Kind.String())
			}
		}
	}
}
