package registry

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// Held is one model that an engine holds, with its adapters.
type LoadedModel struct {
	Model      string
	Generation uint64
	Adapters   []string
}

// Target names a model, or one adapter of it.
type Target struct{ Model, Adapter string }

// Word is what an engine says of itself when it beats.
type Registration struct {
	ID       ident.EngineID
	Pool     string
	Address  string
	Zone     ident.ZoneID
	Software string
	Slots    int
	Draining bool
	// LeaveMs is the time left to an engine that is taken away at short notice; zero is none told.
	TerminatesInMs int64
	// ColdMs is how much longer it is slow from its start.
	SlowStartMs int64
	Phase       string
	Models      []LoadedModel
	// CallSeq rises with each beat, so that a late one can be known.
	CallSeq uint64
}

// tidy puts a word's lists in order, so that the same content always looks the same.
func normalize(registration Registration) Registration {
	byModel := func(a, b LoadedModel) int { return cmp.Compare(a.Model, b.Model) }
	inOrder := slices.IsSortedFunc(registration.Models, byModel)
	for _, loaded := range registration.Models {
		inOrder = inOrder && slices.IsSorted(loaded.Adapters)
	}
	if inOrder {
		return registration
	}
	registration.Models = slices.Clone(registration.Models)
	slices.SortStableFunc(registration.Models, byModel)
	for i := range registration.Models {
		registration.Models[i].Adapters = slices.Clone(registration.Models[i].Adapters)
		slices.Sort(registration.Models[i].Adapters)
	}
	return registration
}

// sameButModels says whether two words differ at most in what is held, and in the count-down of a slow start.
func equalExceptModels(a, b Registration) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Software == b.Software && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.TerminatesInMs > 0 == (b.TerminatesInMs > 0) && a.Phase == b.Phase
}
