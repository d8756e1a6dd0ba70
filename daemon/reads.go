package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/replica"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/rollout/directapply"
	"github.com/cresspond/cresspond/wire/operatorapi"
	"github.com/cresspond/cresspond/wire/peerapi"
)

// readLimit is how long a leader's answer to a read is waited for.
const readLimit = 700 * time.Millisecond

// Query reads part of the replicated state from the leader, over and over until it is answered. It fails with ErrNoAnswer
// when ctx ends, and with ErrNoContact once this daemon turns out to be cut off from a majority of the control group.
func (d *Daemon) Query(ctx context.Context, what, key string) (operatorapi.Reading, error) {
	bounded, cancel := d.whileInContact(ctx)
	defer cancel()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if reading, ok := d.queryOnce(bounded, what, key); ok {
			return reading, nil
		}
		select {
		case <-bounded.Done():
			return operatorapi.Reading{}, outcomeUnknown(bounded)
		case <-ticker.C:
		}
	}
}

// queryOnce reads from the leader that is known now.
func (d *Daemon) queryOnce(ctx context.Context, what, key string) (operatorapi.Reading, bool) {
	self := d.config.AdvertisedPeerAddress()
	if result, outcome := d.readAsLeader(ctx, what, key); outcome == replica.Applied {
		return operatorapi.Reading{Data: result, Leader: self}, true
	}
	address := d.leaderAddress()
	if address == "" || address == self {
		return operatorapi.Reading{}, false
	}
	bounded, cancel := d.whileLeader(ctx, address, readLimit)
	defer cancel()
	reply, err := d.links.Client(address).Read(bounded, &peerapi.ReadRequest{
		Group: string(d.Group()),
		What:  what,
		Key:   key,
	})
	if err != nil || reply.Outcome != string(replica.Applied) {
		return operatorapi.Reading{}, false
	}
	return operatorapi.Reading{Data: reply.Result, Leader: address}, true
}

// Read serves a linearizable read, if this daemon leads. It is part of the peer protocol.
func (d *Daemon) Read(ctx context.Context, in *peerapi.ReadRequest) (*peerapi.ReadReply, error) {
	if err := d.checkGroup(in.Group); err != nil {
		return nil, err
	}
	if in.What == nodesRead {
		return d.readNodes(ctx, in.Key), nil
	}
	if reply, answered := d.readTenantPage(in.What, in.Key); answered {
		return reply, nil
	}
	result, outcome := d.readAsLeader(ctx, in.What, in.Key)
	return &peerapi.ReadReply{Outcome: string(outcome), Result: result, LeaderAddress: d.leaderAddress()}, nil
}

// groupTime returns the group's time as it is known here; one that is no member asks the leader. It is zero where the
// leader is of a build that does not tell it.
func (d *Daemon) groupTime(ctx context.Context) (ident.GroupTime, error) {
	if groupMember := d.replica.Load(); groupMember != nil {
		return groupMember.Status().GroupTime, nil
	}
	reading, err := d.Query(ctx, "time", "")
	if err != nil || len(reading.Data) == 0 {
		return 0, err
	}
	var now ident.GroupTime
	err = json.Unmarshal(reading.Data, &now)
	return now, err
}

// readAsLeader reads part of the state at a linearizable point; a nil result means that it doesn't exist.
func (d *Daemon) readAsLeader(ctx context.Context, what, key string) ([]byte, replica.Outcome) {
	groupMember := d.replica.Load()
	if groupMember == nil || !groupMember.Status().IsLeader {
		return nil, replica.NotLeader
	}
	var result []byte
	outcome := groupMember.Read(ctx, func(state *statemachine.State) { result = encodeRead(state, what, key) })
	if what == "trace" && outcome == replica.Applied {
		result = d.changeTrace(ctx, key, result)
	}
	return result, outcome
}

// traceState is what a trace needs of the state. Its JSON names are part of the peer protocol.
type traceState struct {
	Configuration uint64         `json:"spec"`
	Closure       uint64         `json:"closure"`
	Serving       []ident.NodeID `json:"serving"`
}

func encodeRead(state *statemachine.State, what, key string) []byte {
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		if err != nil {
			panic("broken invariant: the state cannot be encoded: " + err.Error())
		}
		return data
	}
	switch what {
	case "spec":
		version, err := strconv.ParseUint(key, 10, 64)
		if err != nil {
			return nil
		}
		if version == 0 {
			version = uint64(state.Version())
		}
		if found, ok := state.ProposalAt(ident.Version(version)); ok {
			return encode(found)
		}
	case "history":
		history := []statemachine.Proposal{}
		for version := ident.Version(1); version <= state.Version(); version++ {
			// Only some of the configurations that were applied in one step are retained.
			if found, ok := state.ProposalAt(version); ok {
				brief := *found
				brief.Configuration = nil
				history = append(history, brief)
			}
		}
		return encode(history)
	case "proposal":
		if found := state.Proposals[key]; found != nil {
			return encode(found)
		}
	case "time":
		return encode(state.Now)
	case "bundle":
		return encode(directapply.LatestOf(state))
	case "closures":
		return encode(state.Closures)
	case "trace":
		return encode(traceState{
			Configuration: uint64(state.Version()),
			Closure:       uint64(state.Closures.Version),
			Serving:       state.ServingDaemons(),
		})
	}
	return nil
}
