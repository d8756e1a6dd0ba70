package daemon

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cresspond/cresspond/process/daemonconfig"
)

// TestMetricsPortInUseIsReportedByItsSettingsKey: it fails the start where faults end a daemon, and holds nothing up
// where they are waited for.
func TestMetricsPortInUseIsReportedByItsSettingsKey(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, one := range []struct {
		policy  daemonconfig.FaultPolicy
		refused bool
	}{{daemonconfig.ExitOnFault, true}, {daemonconfig.RetryOnFault, false}} {
		settings := daemonconfig.Default()
		settings.Name, settings.OnFault, settings.MetricsListen = "edge-1", one.policy, taken.Addr().String()
		d := New(settings, "test", &log.Logger{Handler: discard.Default})
		ctx, cancel := context.WithCancel(context.Background())
		err := d.startMetrics(ctx)
		cancel()
		if refused := err != nil && strings.Contains(err.Error(), daemonconfig.MetricsKey); refused != one.refused {
			t.Errorf("%s: %v", one.policy, err)
		}
	}
}
