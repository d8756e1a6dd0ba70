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
	// raftQueueLength is how many batches may wait for one member.
	raftQueueLength = 64
	// raftTimeout bounds one call with messages: if a peer does not respond, newer messages are better sent instead.
	raftTimeout = 600 * time.Millisecond
	// raftStateTimeout is the same for a large call, such as one with a snapshot.
	raftStateTimeout = 3 * time.Second
	// largeBatchBytes is the size from which a call counts as large.
	largeBatchBytes = 128 << 10
	// maxBatchBytes and maxBatchMessages bound what is merged into one call.
	maxBatchBytes    = 1 << 20
	maxBatchMessages = 256
)

// raftBatch is the messages of one Send.
type raftBatch struct {
	group    ident.GroupID
	messages []raft.Message
}

// Send queues raft messages for a member and never blocks. Messages are dropped if the queue is full, which raft allows
// for: it sends them again.
func (p *Pool) Send(group ident.GroupID, member raft.Member, messages []raft.Message) {
	if member.Address == "" {
		return
	}
	select {
	case p.raftQueue(member.Address) <- raftBatch{group, messages}:
	default:
		p.DroppedBatches.Add(1)
	}
}

// raftQueue returns the queue of a member, and starts its goroutine if it is new.
func (p *Pool) raftQueue(address string) chan<- raftBatch {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	queue, known := p.raftQueues[address]
	if !known {
		queue = make(chan raftBatch, raftQueueLength)
		p.raftQueues[address] = queue
		go p.sendQueued(address, queue)
	}
	return queue
}

// sendQueued sends the batches of a queue, one call after the other, until the pool's context ends.
func (p *Pool) sendQueued(address string, queue <-chan raftBatch) {
	client := p.Client(address)
	for {
		select {
		case <-p.ctx.Done():
			return
		case batch := <-queue:
			messages, timeout := p.mergeQueued(batch, queue)
			p.sendBatch(client, batch.group, messages, timeout)
		}
	}
}

// mergeQueued appends the batches that were queued meanwhile to the first one. Those of another group, or for which
// there is no room, are dropped.
func (p *Pool) mergeQueued(first raftBatch, queue <-chan raftBatch) ([]raft.Message, time.Duration) {
	messages := first.messages
	size, timeout := sizeAndTimeout(messages)
	for queued := len(queue); queued > 0 && len(messages) < maxBatchMessages; queued-- {
		next := <-queue
		nextSize, nextTimeout := sizeAndTimeout(next.messages)
		if next.group != first.group || nextSize > 0 && size+nextSize > maxBatchBytes {
			p.DroppedBatches.Add(1)
			continue
		}
		messages, size, timeout = append(messages, next.messages...), size+nextSize, max(timeout, nextTimeout)
	}
	return messages, timeout
}

func (p *Pool) sendBatch(client peerapi.Fellow, group ident.GroupID, messages []raft.Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	batch := &peerapi.RaftBatch{Group: string(group), Address: p.address, Messages: raftcodec.Encode(messages)}
	if _, err := client.Raft(ctx, batch); err != nil {
		p.FailedBatches.Add(1)
		return
	}
	p.SentMessages.Add(uint64(len(messages)))
}

// sizeAndTimeout returns the bytes of entries and snapshots in messages, and the timeout of a call with them.
func sizeAndTimeout(messages []raft.Message) (size int, timeout time.Duration) {
	for _, message := range messages {
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		if message.Snapshot != nil {
			size += len(message.Snapshot.Data)
		}
	}
	if size > largeBatchBytes {
		return size, raftStateTimeout
	}
	return size, raftTimeout
}
