package endtoend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/process/daemonconfig"
	"github.com/cresspond/cresspond/testbed/engine"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// TestAStoppingDaemonServesUntilThePlatformHasMovedOn: it is not ready at once, serves what still comes until
// the platform was told twice, and finishes what it has read.
func TestAStoppingDaemonServesUntilThePlatformHasMovedOn(t *testing.T) {
	b := prepare(t, engine.Config{Slots: 4, ChunkTime: 300 * time.Millisecond})
	readiness := free(t)
	b.settle = func(c *daemonconfig.Config) {
		c.ReadyListen, c.AttemptScope, c.DrainMs = readiness, daemonconfig.LocalAttempts, 60000
	}
	b.run()
	b.await("the group acts", func() bool { return b.status().Raft != nil && b.status().Raft.Role == "leader" })
	b.begin(nil, engine.Config{Slots: 4})
	ready := func() int { status, _ := getAt(readiness, operatorapi.PathReady, nil); return status }
	if got := ready(); got != 200 {
		t.Fatalf("a daemon that is ready says %d at its readiness address", got)
	}
	if status, _ := getAt(readiness, operatorapi.PathHistory, nil); status != 404 {
		t.Errorf("the readiness address serves more than looking: %d", status)
	}
	started, ended := make(chan struct{}), make(chan string)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+b.address+"/v1/generate", strings.NewReader(string(encode(t, work()))))
		request.Header.Set("X-Attempt-Id", "read-before")
		response, err := client.Do(request)
		close(started)
		if err != nil {
			ended <- err.Error()
			return
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			ended <- err.Error()
			return
		}
		ended <- string(data)
	}()
	<-started
	close(b.stop)
	b.await("it is not ready", func() bool { return ready() == 503 })
	// The platform has been told once, and may hand over connections until it is told again.
	response, err := client.Get("http://" + b.address + operatorapi.PathLive)
	if err != nil || response.StatusCode != 200 || !response.Close {
		t.Errorf("a new connection is not served, or kept: %v %+v", err, response)
	}
	b.await("it takes no new connections", func() bool {
		_ = ready()
		conn, err := net.Dial("tcp", b.address)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	if got := <-ended; !strings.Contains(got, `"final":true`) {
		t.Errorf("what was read before the stop was not finished: %q", got)
	}
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ran = false
}
