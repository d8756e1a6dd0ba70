package rollout

import (
	"fmt"
	"time"

	"github.com/cresspond/cresspond/ident"
)

// maxSteps is how many steps are remembered, the newest.
const maxSteps = 48

// Step is one thing that this daemon did with one change; operators trace a change through all daemons by them.
type Step struct {
	Change string    `json:"change"`
	Step   string    `json:"step"`
	At     time.Time `json:"at"`
}

// The steps of a change.
const (
	Learned = "learned"
	Built   = "built"
	InForce = "in-force"
)

// ConfigurationChange names one version of the configuration for the tracer.
func ConfigurationChange(version ident.Version) string { return fmt.Sprintf("spec:%d", version) }

// ClosureChange names one version of the closures for the tracer.
func ClosureChange(version ident.Version) string { return fmt.Sprintf("closure:%d", version) }

// Steps lists the newest steps, the newest last.
func (m *Manager) Steps() []Step { return *m.steps.Load() }

func (m *Manager) recordStep(change, step string) {
	old := *m.steps.Load()
	if len(old) >= maxSteps {
		old = old[len(old)-maxSteps+1:]
	}
	next := append(append(make([]Step, 0, len(old)+1), old...), Step{change, step, m.wall()})
	m.steps.Store(&next)
}
