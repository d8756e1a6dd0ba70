package recovery

import (
	"github.com/rotisserie/eris"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/consensus/raft"
	"github.com/cresspond/cresspond/process/consensus/statemachine"
	"github.com/cresspond/cresspond/process/consensus/store"
)

// ReadSurvivor reads the group and state of a stopped member's data folder with its complete log applied: whatever a
// lone survivor holds may have been acknowledged, whether or not it knew that it was committed.
func ReadSurvivor(survivor *store.Store) (ident.GroupID, *statemachine.State, error) {
	group, err := survivor.Group()
	if err != nil {
		return "", nil, err
	}
	restored, err := survivor.Load()
	if err != nil {
		return "", nil, err
	}
	state, err := statemachine.Restore(restored.Snapshot.Data)
	if err != nil {
		return "", nil, eris.Wrap(err, "the snapshot cannot be read")
	}
	for _, entry := range restored.Entries {
		if entry.Index > restored.Snapshot.Index && entry.Kind == raft.EntryCommand {
			state.Apply(entry.Data)
		}
	}
	return group, state, nil
}

// WriteGroup writes the plan into an empty data folder as a group of one member, which the other machines join. name and
// address are that member's.
func WriteGroup(folder *store.Store, plan Plan, name, address string) error {
	self := raft.Member{ID: folder.MemberID, Name: name, Address: address, Voter: true}
	first := raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Members: []raft.Member{self}}, Data: plan.State.Snapshot()}
	return folder.Write(plan.Group, raft.Save{HardState: raft.HardState{Term: 1}, Snapshot: &first})
}
