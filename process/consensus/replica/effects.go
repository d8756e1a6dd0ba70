package replica

import (
	"github.com/cresspond/cresspond/process/consensus/raft"
)

// Effects is what a step wants done.
type Effects struct {
	Save              *raft.Save
	MessagesAfterSave []raft.Message
	Messages          []raft.Message
	Responses         []Response
	// Changed says that the spec in force, the closures or the engines that left are others than before.
	ConfigurationChanged bool
	// Notices tell what an operator may want to know.
	Notices []raft.Notice
	// GiveUp says why this member may serve its state no longer and must join anew; nil otherwise.
	Fatal error
}

func (e *Effects) merge(more Effects) {
	switch {
	case more.Save == nil:
	case e.Save == nil:
		e.Save = more.Save
	default:
		e.Save.Merge(*more.Save)
	}
	e.MessagesAfterSave = append(e.MessagesAfterSave, more.MessagesAfterSave...)
	e.Messages = append(e.Messages, more.Messages...)
	e.Responses = append(e.Responses, more.Responses...)
	e.ConfigurationChanged = e.ConfigurationChanged || more.ConfigurationChanged
	e.Notices = append(e.Notices, more.Notices...)
	if e.Fatal == nil {
		e.Fatal = more.Fatal
	}
}
