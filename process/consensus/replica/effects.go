package replica

import "github.com/cresspond/cresspond/process/consensus/raft"

// Effects are what the caller of a Core must carry out after a step.
type Effects struct {
	// Save is to be written to disk, MessagesAfterSave sent once that and every earlier write is synced. Messages may be
	// sent at once.
	Save              *raft.Save
	MessagesAfterSave []raft.Message
	Messages          []raft.Message
	// Responses answer requests that were submitted here.
	Responses []Response
	// ConfigurationChanged says that the configuration in force, the closures or the engines that left have changed.
	ConfigurationChanged bool
	// Notices are events for operators.
	Notices []raft.Notice
	// Fatal says why this member may serve its state no longer and must join anew; nil otherwise.
	Fatal error
}

// merge appends the effects of a later step.
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
