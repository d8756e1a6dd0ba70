package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// maxAcknowledgement is the longest body, in bytes, that is accepted as an acknowledgement.
const maxAcknowledgement = 4 << 10

// controlClient is the HTTP client for calls to control daemons.
func controlClient(patience time.Duration) *http.Client {
	return &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return errors.New("redirected more than twice")
			}
			return nil
		}}
}

// registrar keeps one incarnation registered.
type registrar struct {
	*incarnation
	client *http.Client
	// heartbeatTarget is where the last acknowledgement directs later heartbeats, until one fails there.
	heartbeatTarget string
	next            int
	seq             uint64
}

func (inc *incarnation) sendHeartbeats() {
	c := &registrar{incarnation: inc, client: controlClient(time.Second)}
	c.next = inc.random.IntN(64)
	pause, failures := time.Duration(0), 0
	for {
		if pause > 0 {
			timer := time.NewTimer(pause)
			select {
			case <-inc.ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			case <-inc.heartbeatNow:
				timer.Stop()
			}
		}
		if !inc.gate.pass(inc.ctx) {
			return
		}
		if c.sendHeartbeat() {
			pause, failures = inc.Config.HeartbeatPeriod, 0
			continue
		}
		// The next daemon is called after an exponential backoff, up to one period.
		failures++
		pause = min(inc.Config.HeartbeatPeriod, 10*time.Millisecond<<min(failures, 10))
	}
}

// pick is the daemon to call next.
func (c *registrar) pick() string {
	if c.heartbeatTarget != "" {
		return c.heartbeatTarget
	}
	list := c.Config.Controls()
	if len(list) == 0 {
		return ""
	}
	return list[c.next%len(list)]
}

// sendHeartbeat sends one heartbeat and says whether it was acknowledged.
func (c *registrar) sendHeartbeat() bool {
	daemon := c.pick()
	if daemon == "" {
		return false
	}
	c.seq++
	heartbeat := protocol.Registration{Backend: c.Config.Service, Address: c.Config.Address, Zone: c.Config.Zone, Generation: c.Config.Software, Slots: c.slots(),
		State: protocol.StateReady, CallSeq: c.seq}
	if left := c.Config.WarmUp - c.Recorder.Now().Since(c.began); left > 0 {
		heartbeat.WarmUpLeftMs = left.Milliseconds()
	}
	if c.Config.Model {
		heartbeat.Phase = "colocated"
		c.do(func() { heartbeat.Models = c.holdings.List() })
	}
	leaving := c.draining.Load()
	if leaving {
		heartbeat.State = protocol.StateDraining
		if by := c.remaining.Load(); by != 0 {
			heartbeat.RemainingMs = max(0, time.Duration(by-int64(c.Recorder.Now())).Milliseconds())
		}
	}
	if each := c.Config.LateEach; each > 0 && c.seq%each == 0 {
		c.sendLate(encode(heartbeat))
		c.heartbeatTarget = ""
		c.next++
		return false
	}
	asked := c.Recorder.Now()
	status, body, err := call(c.ctx, c.client, http.MethodPut, daemon, protocol.PathEngines+c.id, encode(heartbeat))
	if err != nil || status < 200 || status > 299 || len(body) > maxAcknowledgement || c.Recorder.Now().Since(asked) > time.Second {
		c.heartbeatTarget = ""
		c.next++
		return false
	}
	var answer protocol.Registered
	if json.Unmarshal(body, &answer) == nil {
		c.heartbeatTarget = answer.HeartbeatTarget
	}
	if leaving {
		c.ackOnce.Do(func() {
			c.Recorder.Record(func(*history.History) { c.record.DrainAcked, c.record.DrainBy = c.Recorder.Now(), daemon })
			close(c.drainAcked)
		})
	}
	return true
}

// sendLate delays a heartbeat, so that it arrives behind later ones, and even after the engine's end.
func (c *registrar) sendLate(heartbeat []byte) {
	list := c.Config.Controls()
	if len(list) == 0 {
		return
	}
	daemon := list[c.seq%uint64(len(list))]
	time.AfterFunc(c.Config.LateBy, func() {
		// Nobody waits for the answer any more.
		_, _, _ = call(context.Background(), c.client, http.MethodPut, daemon, protocol.PathEngines+c.id, heartbeat)
	})
}

// deregister announces the end of the incarnation to each daemon in turn, until one acknowledges it; false if none does.
func (inc *incarnation) deregister() bool {
	client := controlClient(time.Second)
	list := inc.Config.Controls
	if list == nil {
		return true
	}
	for _, daemon := range list() {
		status, _, err := call(inc.ctx, client, http.MethodDelete, daemon, protocol.PathEngines+inc.id, nil)
		if err == nil && status >= 200 && status < 300 {
			inc.Recorder.Record(func(*history.History) {
				if inc.record.DrainAcked == 0 {
					inc.record.DrainAcked, inc.record.DrainBy = inc.Recorder.Now(), daemon
				}
			})
			return true
		}
	}
	return false
}

// call makes one call to a control daemon.
func call(ctx context.Context, client *http.Client, method, daemon, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAcknowledgement+1))
	return response.StatusCode, data, err
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("broken invariant: an answer cannot be written: " + err.Error())
	}
	return data
}
