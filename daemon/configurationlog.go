package daemon

import (
	"github.com/apex/log"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/configuration/routingtable"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// logApply logs what became of an operator's call to apply a configuration that arrived here. Keys and reasons that could
// quote them are left out.
func (d *Daemon) logApply(call operatorapi.ApplyRequest, answer operatorapi.ApplyResponse, arrived clock.Mark) {
	fields := log.Fields{
		"base":       uint64(call.Base),
		"operator":   call.Operator,
		"outcome":    answer.Outcome,
		"revision":   uint64(answer.Revision),
		"version":    uint64(answer.Version),
		"faults":     len(answer.Faults),
		"missing":    len(answer.Missing),
		"durationMs": d.clock.Elapsed().Since(arrived).Milliseconds(),
	}
	if call.Patch != nil {
		fields["pathsChanged"] = len(call.Patch.Upsert.Paths) + len(call.Patch.Remove.Paths)
		fields["poolsChanged"] = len(call.Patch.Upsert.Pools) + len(call.Patch.Remove.Pools)
		fields["tenantsChanged"] = len(call.Patch.Upsert.Tenants) + len(call.Patch.Remove.Tenants)
	}
	d.log.WithFields(fields).Info("call to apply a configuration answered")
}

// logInForce logs a configuration that was put in force, once for each version.
func (d *Daemon) logInForce(table *routingtable.Table) {
	if d.loggedVersion.Swap(uint64(table.Version)) == uint64(table.Version) || table.Forward == nil {
		return
	}
	section := table.Forward.Section
	fields := log.Fields{
		"version":  uint64(table.Version),
		"revision": section.Revision,
		"paths":    len(section.Paths),
		"pools":    len(section.Pools),
		"tenants":  len(section.Tenants),
	}
	if confirmed := d.confirmed(); confirmed > 0 {
		fields["confirmedMsAgo"] = d.clock.Elapsed().Since(confirmed).Milliseconds()
	}
	d.log.WithFields(fields).Info("configuration in force")
}
