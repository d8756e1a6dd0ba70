package endtoend

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/cresspond/cresspond/configuration/document"
	"github.com/cresspond/cresspond/configuration/upstream"
	"github.com/cresspond/cresspond/daemon"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/wire/dialect"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

const (
	// acmeKey and otherKey are keys of tenants, wrongKey by nobody.
	acmeKey  = "acme-Zq7fVwKx"
	otherKey = "other-Rt4mBnPd"
	wrongKey = "wrong-Lj9sHcTy"
)

// tenantBundle is a bundle with one path, which needs a key, and two tenants.
func tenantBundle() document.Configuration {
	bundle := forwarding(1, 1)
	bundle.Forward.Tenants = []upstream.Tenant{
		{Name: "acme", Keys: []string{acmeKey}, RatePerSecond: 1, Burst: 1},
		{Name: "other", Keys: []string{otherKey}},
	}
	return bundle
}

// askAs makes one opaque request with a key.
func (b *bench) askAs(key, attempt string) (status int, answer string) {
	b.t.Helper()
	request, err := http.NewRequest("POST", "http://"+b.address+"/r0/x", strings.NewReader("work"))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, fmt.Sprint(response.Header, string(data))
}

// outputs are what a daemon put out, by what asked for it.
type outputs map[string]string

// faultyTenants are parts of bundles that are refused; each holds a key.
func faultyTenants() map[string]string {
	long := acmeKey + strings.Repeat("k", 2000)
	return map[string]string{
		"a key of two":           `[{"name":"a","keys":["` + acmeKey + `"]},{"name":"b","keys":["` + acmeKey + `"]}]`,
		"a key that is too long": `[{"name":"a","keys":["` + long + `"]}]`,
		"an empty key":           `[{"name":"a","keys":["` + acmeKey + `",""]}]`,
		"a name twice":           `[{"name":"a","keys":["` + acmeKey + `"]},{"name":"a","keys":["` + otherKey + `"]}]`,
		"keys that are no list":  `[{"name":"a","keys":"` + acmeKey + `"}]`,
		"a field twice":          `[{"name":"a","keys":["` + acmeKey + `"],"keys":["` + otherKey + `"]}]`,
		"an unknown field":       `[{"name":"a","keys":["` + acmeKey + `"],"secret":"` + otherKey + `"}]`,
		"a rate below zero":      `[{"name":"a","keys":["` + acmeKey + `"],"ratePerSecond":-1}]`,
		"a rate that is a key":   `[{"name":"a","keys":[],"ratePerSecond":"` + acmeKey + `"}]`,
		"no JSON":                `[{"name":"a","keys":["` + acmeKey + `" "` + otherKey + `"]}]`,
		"cut off":                `[{"name":"a","keys":["` + acmeKey,
	}
}

// sendFaulty sends bundles that are refused, in each way there is.
func (o outputs) sendFaulty(b *bench) {
	b.t.Helper()
	for name, tenants := range faultyTenants() {
		bundle := `{"name":"opaque","forward":{"revision":9,"pools":[{"name":"p"}],"paths":[],"tenants":` + tenants + `}}`
		patch := `{"revision":9,"upsert":{"tenants":` + tenants + `}}`
		for form, call := range map[string]func() (int, string){
			"PUT":   func() (int, string) { return b.raw("PUT", operatorapi.PathBundle+"?operator=ana&base=1", bundle) },
			"PATCH": func() (int, string) { return b.raw("PATCH", operatorapi.PathBundle+"?operator=ana&base=1", patch) },
			"propose": func() (int, string) {
				return b.raw("POST", operatorapi.PathPropose, `{"proposalId":"p","base":1,"operator":"ana","spec":`+bundle+`}`)
			},
		} {
			status, answer := call()
			if status != http.StatusBadRequest {
				b.t.Errorf("%s by %s: %d %s", name, form, status, answer)
			}
			o[name+" by "+form] = answer
		}
	}
}

// signOff takes a bundle with other keys through its stages.
func (o outputs) signOff(b *bench, base uint64) {
	b.t.Helper()
	next := tenantBundle()
	next.Forward.Revision, next.Forward.Tenants = 9, next.Forward.Tenants[:1]
	body, err := operatorapi.Propose{ProposalID: "next", Base: ident.Version(base), Operator: "ana", Configuration: encode(b.t, next)}.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	_, o["proposed"] = b.rawUntilClear(operatorapi.PathPropose, string(body))
	for _, step := range []struct{ path, operator string }{{operatorapi.PathReview, "berta"}, {operatorapi.PathSign, "chen"}, {operatorapi.PathRoll, "ana"}} {
		action := encode(b.t, operatorapi.ProposalAction{ProposalID: "next", Operator: step.operator})
		status, answer := b.rawUntilClear(step.path, string(action))
		if status != http.StatusOK {
			b.t.Errorf("%s: %d %s", step.path, status, answer)
		}
		o["answer of "+step.path] = answer
	}
}

// rawUntilClear makes an operator's call until its outcome is known.
func (b *bench) rawUntilClear(path, body string) (status int, answer string) {
	b.t.Helper()
	b.await("there is a clear answer at "+path, func() bool {
		status, answer = b.raw("POST", path, body)
		return status != http.StatusServiceUnavailable && status != http.StatusAccepted && status != 0
	})
	return status, answer
}

// raw makes one call of an operator, and gives the whole answer.
func (b *bench) raw(method, path, body string) (int, string) {
	b.t.Helper()
	request, err := http.NewRequest(method, "http://"+b.address+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, fmt.Sprint(response.Header, string(data))
}

// sendUnreadable sends requests that can't be read as HTTP, or are too large, with a key in them.
func (o outputs) sendUnreadable(b *bench) {
	b.t.Helper()
	start := "POST /r0/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + acmeKey + "\r\n"
	for name, text := range map[string]string{
		"a broken field":     start + "no colon here\r\n\r\n",
		"a broken length":    start + "Content-Length: " + wrongKey + "\r\n\r\n",
		"a broken line":      "Bearer " + acmeKey + "\r\n\r\n",
		"a header too large": start + "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"broken chunks":      start + "Transfer-Encoding: chunked\r\n\r\n" + acmeKey + "\r\n",
	} {
		conn := b.dial()
		_, _ = io.WriteString(conn, text)
		_ = conn.CloseWrite()
		o[name] = rest(conn)
	}
}

// readPages reads each page of a daemon that doesn't give a bundle back.
func (o outputs) readPages(b *bench, metricsAddress string) {
	b.t.Helper()
	for _, page := range []string{
		operatorapi.PathStatus, operatorapi.PathCounters, operatorapi.PathReady, operatorapi.PathLive, operatorapi.PathEngines, operatorapi.PathNodes,
		operatorapi.PathClosures, operatorapi.PathHistory, operatorapi.PathTrace + "?change=spec:1", operatorapi.PathTrace + "?change=spec:2",
		operatorapi.PathTenants, operatorapi.PathTenants + "?at=all", operatorapi.PathTenants + "?tenant=acme", operatorapi.PathTenants + "?tenant=" + "nobody",
	} {
		status, answer := b.raw("GET", page, "")
		if answer == "" {
			b.t.Errorf("%s: %d", page, status)
		}
		o[page] = answer
	}
	status, page := getAt(metricsAddress, "/metrics", nil)
	if status != http.StatusOK {
		b.t.Errorf("metrics: %d", status)
	}
	o["metrics"] = string(page)
}

// readLog takes in the daemon's log lines, with their fields.
func (o outputs) readLog(handler *memory.Handler) {
	for place, entry := range handler.Entries {
		o[fmt.Sprint("log line ", place)] = fmt.Sprintf("%s %+v", entry.Message, entry.Fields)
	}
}

// formsOf gives a key as it is, and as it looks within bytes that a page encodes.
func formsOf(key string) []string {
	forms := []string{key}
	for shift := range 3 {
		encoded := base64.StdEncoding.EncodeToString([]byte("xyz"[:shift] + key))
		forms = append(forms, encoded[4:len(encoded)-4])
	}
	return forms
}

// search gives the outputs that hold a key.
func (o outputs) search() []string {
	var found []string
	for name, text := range o {
		for _, key := range []string{acmeKey, otherKey, wrongKey} {
			if slices.ContainsFunc(formsOf(key), func(form string) bool { return strings.Contains(text, form) }) {
				found = append(found, fmt.Sprintf("%s: %s", name, text))
			}
		}
	}
	slices.Sort(found)
	return found
}

// startTenantDaemon brings up one daemon that logs all there is, with its engine and a bundle with tenants.
func startTenantDaemon(t *testing.T) (b *bench, metricsAddress string) {
	t.Helper()
	b = prepare(t, engine.Config{})
	b.logs, metricsAddress = memory.New(), free(t)
	b.options = []daemon.Option{daemon.WithForwarding(dialect.Own())}
	b.settle = func(c *daemonconfig.Config) {
		c.DirectApply, c.Log, c.MetricsListen = true, log.DebugLevel.String(), metricsAddress
	}
	b.run()
	b.await("the group acts", func() bool { return b.status().Raft != nil && b.status().Raft.Role == "leader" })
	if status, reply := b.acknowledged("PUT", 0, encode(t, tenantBundle())); status != 200 {
		t.Fatal(status, reply)
	}
	newPlainEngine(t, "e").sendHeartbeat(b, false)
	b.await("the engine serves", func() bool { status, _ := b.askAs(otherKey, "warm"); return status == 200 })
	return b, metricsAddress
}

// Guards against keys in what a daemon shows, logs, counts, traces and answers. Only the pages that give a bundle back hold
// them, since it reads back byte for byte; they show that the search finds a key.
func TestKeysAppearInNoOutputOfADaemon(t *testing.T) {
	b, metricsAddress := startTenantDaemon(t)
	seen := outputs{}
	for number := range 30 {
		status, answer := b.askAs(acmeKey, fmt.Sprint("acme-", number))
		seen[fmt.Sprintf("%d for a key that is held, %d", status, number)] = answer
	}
	_, seen["no tenant"] = b.askAs(wrongKey, "wrong")
	seen.sendFaulty(b)
	seen.sendUnreadable(b)
	withdrawn := upstream.Patch{Revision: 2, Upsert: upstream.Items{Tenants: []upstream.Tenant{{Name: "acme", Keys: []string{otherKey}}}}, Remove: upstream.Names{Tenants: []string{"other"}}}
	if status, reply := b.acknowledged("PATCH", 1, encode(t, withdrawn)); status != 200 {
		t.Fatal(status, reply)
	}
	b.await("the key is withdrawn", func() bool { status, _ := b.askAs(acmeKey, "late"); return status == http.StatusUnauthorized })
	_, seen["a withdrawn key"] = b.askAs(acmeKey, "late")
	seen.signOff(b, 2)
	seen.readPages(b, metricsAddress)
	seen.readLog(b.logs)
	if found := seen.search(); len(found) > 0 {
		t.Errorf("%d outputs hold a key:\n%s", len(found), strings.Join(found, "\n"))
	}
	readBack := outputs{}
	_, readBack["bundle"] = b.raw("GET", operatorapi.PathBundle, "")
	_, readBack["spec"] = b.raw("GET", operatorapi.PathConfiguration, "")
	_, readBack["proposal"] = b.raw("GET", operatorapi.PathProposal+"?id=next", "")
	if found := readBack.search(); len(found) < len(readBack) {
		t.Errorf("the search does not find the keys of a bundle that is read back: %q", readBack)
	}
}

// Guards against an operator who can't see what a tenant may send and has sent, at any daemon and over the fleet.
func TestTenantsPageShowsUseAtEachDaemonAndTheLeader(t *testing.T) {
	all := together(t, 3, true, func(int) []daemon.Option { return []daemon.Option{daemon.WithForwarding(dialect.Own())} })
	if status, reply := all[0].acknowledged("PUT", 0, encode(t, tenantBundle())); status != 200 {
		t.Fatal(status, reply)
	}
	newPlainEngine(t, "e").sendHeartbeat(all[0], false)
	busy, other := all[1], all[2]
	busy.await("the tenant is served", func() bool { status, _ := busy.askAs(acmeKey, "warm"); return status == 200 })
	busy.await("the tenant is beyond its limit", func() bool { status, _ := busy.askAs(acmeKey, "more"); return status == http.StatusTooManyRequests })
	var page operatorapi.Tenants
	other.await("each daemon and the leader answer", func() bool {
		// A leader that was elected meanwhile knows of the tenant from the next call for tokens on.
		busy.askAs(acmeKey, "again")
		page = operatorapi.Tenants{}
		other.get(operatorapi.PathTenants+"?tenant=acme&at=all", &page)
		if len(page.Daemons) != len(all) || page.Leader == nil || len(page.Leader.Buckets) != 1 {
			return false
		}
		bucket := page.Leader.Buckets[0]
		return bucket.Granted > 0 && bucket.Denied > 0
	})
	if len(page.Tenants) != 1 || page.Tenants[0].RatePerSecond != 1 || page.Tenants[0].Keys != 1 || len(page.Unanswered) > 0 {
		t.Errorf("%+v", page)
	}
	for _, asked := range page.Daemons {
		if used := len(asked.Tenants) > 0; used != (asked.Daemon.Name() == busy.name) || !asked.Routes {
			t.Errorf("%+v", asked)
		}
		for _, use := range asked.Tenants {
			if use.Granted == 0 || use.Denied == 0 {
				t.Errorf("%+v", use)
			}
		}
	}
	if bucket := page.Leader.Buckets[0]; bucket.Tenant != "acme" || bucket.Capacity <= 0 || bucket.Level > bucket.Capacity {
		t.Errorf("%+v", page.Leader)
	}
	if busy.counter("quota_denied") == 0 || busy.counter("quota_granted") == 0 || busy.counter("quota_calls") == 0 {
		t.Error("requests under a limit are not counted")
	}
	if status, _ := other.get(operatorapi.PathTenants+"?at=nobody", nil); status != http.StatusNotFound {
		t.Errorf("a daemon that is not there: %d", status)
	}
}
