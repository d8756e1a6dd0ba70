package registry

import (
	"cmp"
	"slices"

	"github.com/cresspond/cresspond/ident"
)

// LoadedModel is one model that an engine has loaded, with its adapters.
type LoadedModel struct {
	Model      string
	Generation uint64
	Adapters   []string
}

// Target names a model, or one adapter of it.
type Target struct{ Model, Adapter string }

// Registration is what an engine states of itself with each heartbeat.
type Registration struct {
	ID       ident.EngineID
	Pool     string
	Address  string
	Zone     ident.ZoneID
	Software string
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// TerminatesInMs is the time left to an engine that is taken away at short notice; zero is none stated.
	TerminatesInMs int64
	// SlowStartMs is how much longer it is slow after its start.
	SlowStartMs int64
	Phase       string
	Models      []LoadedModel
	// CallSeq rises with each heartbeat, so that a delayed one can be recognized.
	CallSeq uint64
}

// normalize sorts a registration's lists, so that the same content always has the same digest.
func normalize(registration Registration) Registration {
	byModel := func(a, b LoadedModel) int { return cmp.Compare(a.Model, b.Model) }
	sorted := slices.IsSortedFunc(registration.Models, byModel)
	for _, loaded := range registration.Models {
		sorted = sorted && slices.IsSorted(loaded.Adapters)
	}
	if sorted {
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

// equalExceptModels reports whether two registrations differ at most in the loaded models and in the countdowns.
func equalExceptModels(a, b Registration) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Software == b.Software && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.TerminatesInMs > 0 == (b.TerminatesInMs > 0) && a.Phase == b.Phase
}
