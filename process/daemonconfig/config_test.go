package daemonconfig

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write writes a settings file and returns its path.
func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validSettings = `{"name":"edge-1","zone":"a","listen":"127.0.0.1:7000","fellowListen":"127.0.0.1:7001","seeds":["127.0.0.1:7001"],"serve":["route"]}`

func TestValidSettingsPassWithDefaults(t *testing.T) {
	c, faults := Read(write(t, validSettings))
	if len(faults) > 0 || len(c.Check("f")) > 0 || c.DrainMs != 30000 || c.AdvertisedPeerAddress() != "127.0.0.1:7001" || !c.Serves(Route) || c.Serves(Control) {
		t.Errorf("%+v %v %v", c, faults, c.Check("f"))
	}
}

func TestCheckReturnsAllFaultsWithFileAndField(t *testing.T) {
	path := write(t, `{"name":"a b","listen":"host:7000","fellowListen":"127.0.0.1","seeds":["127.0.0.1:1","127.0.0.1:1"],"serve":["control","dance"],"drainMs":-4,"log":"loud"}`)
	c, faults := Read(path)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	reasons := ""
	for _, fault := range c.Check(path) {
		if !strings.HasPrefix(fault.String(), path+": ") {
			t.Errorf("%s does not name the file", fault)
		}
		reasons += fault.Field + "|" + fault.Reason + "\n"
	}
	for _, field := range []string{"name|", "zone|is missing", "listen|must be an IP number", "fellowListen|", "seeds|holds something twice", "serve[1]|", "data|is needed to serve control", "drainMs|", "log|"} {
		if !strings.Contains(reasons, field) {
			t.Errorf("%q is not among\n%s", field, reasons)
		}
	}
}

func TestCompactionIsChecked(t *testing.T) {
	with := func(compaction string) (Config, []Fault) {
		c, faults := Read(write(t, strings.Replace(validSettings, `"serve"`, `"compaction":`+compaction+`,"serve"`, 1)))
		return c, append(faults, c.Check("f")...)
	}
	if c, faults := with(`{"entries":25,"keep":3}`); len(faults) > 0 || c.Compaction != (Compaction{Entries: 25, Keep: 3}) {
		t.Errorf("%+v %v", c.Compaction, faults)
	}
	for _, wrong := range []string{`{"entries":9}`, `{"entries":1000000}`, `{"entries":25,"keep":25}`, `{"entries":-1}`, `{"keep":-1}`, `{"entrys":25}`} {
		if _, faults := with(wrong); len(faults) == 0 {
			t.Errorf("%s was accepted", wrong)
		}
	}
}

func TestUnreadableFileIsOneFault(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": strings.Replace(validSettings, "zone", "zoen", 1), "wrong type": strings.Replace(validSettings, `"a"`, `5`, 1),
		"not JSON": "name = edge", "something after": validSettings + "{}", "empty": "",
	} {
		if _, faults := Read(write(t, text)); len(faults) != 1 || faults[0].Reason == "" {
			t.Errorf("%s: %v", name, faults)
		}
	}
	if _, faults := Read("/nowhere/at/all.json"); len(faults) != 1 {
		t.Error("a missing file was read")
	}
}

func TestInvalidRankingLimitsAreFaults(t *testing.T) {
	path := write(t, strings.Replace(validSettings, `"zone"`, `"ranking":{"mode":"drain","drainAt":2,"clearAt":3,"mostOfPool":0.9,"spanMs":10},"zone"`, 1))
	c, faults := Read(path)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	reasons := ""
	for _, fault := range c.Check(path) {
		reasons += fault.String() + "\n"
	}
	for _, want := range []string{path + ": ranking.clearAt: must be at least 1 and below drainAt", path + ": ranking.mostOfPool: must be 0 to 0.5", path + ": ranking.spanMs: must be 2000"} {
		if !strings.Contains(reasons, want) {
			t.Errorf("%q is not among\n%s", want, reasons)
		}
	}
	if c, _ = Read(write(t, strings.Replace(validSettings, `"zone"`, `"ranking":{"mode":"drain"},"zone"`, 1))); len(c.Check("f")) > 0 || c.Ranking.DrainAt == 0 {
		t.Errorf("the mode alone is enough: %v", c.Check("f"))
	}
	if c, _ = Read(write(t, validSettings)); c.Ranking.Mode != "off" {
		t.Errorf("the default is off: %v", c.Ranking)
	}
}

// TestUnknownMechanismIsAFaultThatListsTheKnown: the fault names the key and lists the known ones.
func TestUnknownMechanismIsAFaultThatListsTheKnown(t *testing.T) {
	c, _ := Read(write(t, strings.Replace(validSettings, `"zone"`, `"experiments":{"without":["homes","magic"]},"zone"`, 1)))
	faults := c.Check("f")
	if len(faults) != 1 || faults[0].Field != "experiments.without[1]" || !strings.Contains(faults[0].Reason, "shedding") {
		t.Errorf("%v", faults)
	}
	c, _ = Read(write(t, strings.Replace(validSettings, `"zone"`, `"experiments":{"without":["homes"]},"zone"`, 1)))
	if faults := c.Check("f"); len(faults) > 0 || c.Experiments.DisabledMechanisms().String() != "homes" {
		t.Errorf("%v, %v", faults, c.Experiments.DisabledMechanisms())
	}
}

// TestCheckAddressesNamesAnAddressInUse, by its key.
func TestCheckAddressesNamesAnAddressInUse(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := Default()
	c.MetricsListen = occupied.Addr().String()
	if faults := c.CheckAddresses("f"); len(faults) != 1 || faults[0].Field != MetricsKey {
		t.Errorf("%v", faults)
	}
	occupied.Close()
	if faults := c.CheckAddresses("f"); len(faults) > 0 {
		t.Errorf("%v", faults)
	}
}
