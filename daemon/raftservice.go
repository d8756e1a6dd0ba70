package daemon

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/raftcodec"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// Raft takes messages of raft from other members. It is part of the peer protocol.
func (d *Daemon) Raft(_ context.Context, in *peerapi.RaftBatch) (*peerapi.Empty, error) {
	messages, err := raftcodec.Decode(in.Messages)
	if err != nil || in.Group == "" {
		d.counters.malformedMessages.Add(1)
		return nil, twirp.NewError(twirp.InvalidArgument, "malformed raft messages")
	}
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	if !d.config.Serves(daemonconfig.Control) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this daemon does not serve control")
	}
	groupMember := d.replica.Load()
	if groupMember == nil {
		folder := d.dataFolder()
		for _, message := range messages {
			// Only a group that knows this folder's identity can name it.
			if folder != nil && message.To == folder.MemberID {
				select {
				case d.adoptedGroup <- ident.GroupID(in.Group):
				default:
				}
				break
			}
		}
		return &peerapi.Empty{}, nil
	}
	groupMember.Receive(ident.GroupID(in.Group), in.Address, messages)
	return &peerapi.Empty{}, nil
}
