package peerclient

import (
	"context"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/cluster/raftcodec"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/wire/peerapi"
)

const (
	raftQueueLength = 64
	// raftTimeout bounds one call with messages: one that a peer's silence holds up is better made anew. A whole
	// state takes longer.
	raftTimeout      = 600 * time.Millisecond
	raftStateTimeout = 3 * time.Second
	// maxBatchBytes bounds what piled up for one call: raft sends what was dropped again.
	maxBatchBytes = 1 << 20
	// largeBatchBytes is from where a call counts as large.
	largeBatchBytes = 128 << 10
)

type raftBatch struct {
	group    ident.GroupID
	messages []raft.Message
}

// Send puts raft messages on the line to a member and never waits.
func (l *Pool) Send(group ident.GroupID, member raft.Member, messages []raft.Message) {
	if member.Address == "" {
		return
	}
	l.mutex.Lock()
	line, known := l.raftQueues[member.Address]
	if !known {
		line = make(chan raftBatch, raftQueueLength)
		l.raftQueues[member.Address] = line
		go l.drainRaftQueue(member.Address, line)
	}
	l.mutex.Unlock()
	select {
	case line <- raftBatch{group, messages}:
	default:
		l.DroppedBatches.Add(1)
	}
}

func (l *Pool) drainRaftQueue(address string, line chan raftBatch) {
	client := l.Client(address)
	for {
		select {
		case <-l.ctx.Done():
			return
		case next := <-line:
			messages := next.messages
			size, limit := sizeAndTimeout(messages)
			// What piled up meanwhile goes along in one call.
			for more := len(line); more > 0 && len(messages) < 256; more-- {
				following := <-line
				weight, longer := sizeAndTimeout(following.messages)
				if following.group != next.group || weight > 0 && size+weight > maxBatchBytes {
					l.DroppedBatches.Add(1)
					continue
				}
				messages, size, limit = append(messages, following.messages...), size+weight, max(limit, longer)
			}
			ctx, cancel := context.WithTimeout(l.ctx, limit)
			_, err := client.Raft(ctx, &peerapi.RaftBatch{Group: string(next.group), Address: l.address, Messages: raftcodec.Encode(messages)})
			cancel()
			if err != nil {
				l.FailedBatches.Add(1)
			} else {
				l.SentMessages.Add(uint64(len(messages)))
			}
		}
	}
}

// sizeAndTimeout says how many bytes of entries and state messages carry, and how long their call may take.
func sizeAndTimeout(messages []raft.Message) (int, time.Duration) {
	size, limit := 0, raftTimeout
	for _, message := range messages {
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		if message.Snapshot != nil {
			size += len(message.Snapshot.Data)
		}
	}
	if size > largeBatchBytes {
		limit = raftStateTimeout
	}
	return size, limit
}
