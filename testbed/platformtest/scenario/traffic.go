package scenario

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/fleet"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

func contains(text []byte, part string) bool { return bytes.Contains(text, []byte(part)) }

// kind is one kind of request.
type requestKind struct {
	name      string
	perSecond float64
	class     string
	resumable bool
	deadline  time.Duration
	target    time.Duration
	in, out   int
	tries     int
}

var kinds = []requestKind{
	{"triage", 5, protocol.Streaming, false, 5 * time.Second, 1500 * ms, 500, 16, 2},
	{"draft", 3, protocol.Streaming, true, 9 * time.Second, 4 * time.Second, 300, 60, 2},
	{"note", 6, protocol.Idempotent, false, 2500 * ms, 500 * ms, 0, 0, 3},
	{"mail", 3, protocol.Mutating, false, 2500 * ms, 500 * ms, 0, 0, 2},
}

const host = "ci.example"

const (
	// leaverEach is of how many requests one is left by its client before long, leaverTokens how many it asks for.
	clientCloseEvery, clientCloseTokens = 19, 600
	// outlastEach is of how many requests one outlasts its route's deadline, where its kind can: the client waits for
	// longer, and asks for more than an engine says by then.
	exceedDeadlineEvery, exceedDeadlineTokens = 37, 9000
)

// send starts all kinds of requests; they come at random times whatever becomes of those before.
func (d *Run) startTraffic(ctx context.Context) {
	for n, k := range kinds {
		random := rand.New(rand.NewPCG(d.Seed, uint64(100+n)))
		d.sending.Add(1)
		go func() {
			defer d.sending.Done()
			for ctx.Err() == nil {
				d.mutex.Lock()
				rate := k.perSecond * d.Scale * d.loadFactor
				d.mutex.Unlock()
				d.pause(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
				if ctx.Err() == nil {
					d.sendRequest(k, random)
				}
			}
		}()
	}
}

// launch sends one request of a kind from a client of a random zone.
func (d *Run) sendRequest(k requestKind, random *rand.Rand) {
	d.mutex.Lock()
	d.requestCount++
	number := d.requestCount
	favourite := d.modelShift
	path := "/" + k.name + "/"
	if k.class == protocol.Idempotent && len(d.addedPaths) > 0 && random.IntN(3) == 0 {
		path = d.addedPaths[random.IntN(len(d.addedPaths))]
	}
	d.mutex.Unlock()
	r := &client.Request{ID: fmt.Sprintf("r%d", number), Kind: k.name, Zone: zones[random.IntN(len(zones))], Host: host, Method: http.MethodPost, URI: fmt.Sprintf("%sx?n=%d", path, number),
		Body: bytes.Repeat([]byte{byte('a' + number%26)}, 20+random.IntN(3000)), Chunked: random.IntN(2) == 0, Class: k.class, Resumable: k.resumable, Deadline: k.deadline, Target: k.target, Gap: 400 * ms, MaxAttempts: k.tries,
		Impatient: random.IntN(20) == 0}
	if number%clientCloseEvery == 0 {
		r.CloseAfter = 60*ms + time.Duration(number*37%800)*ms
	}
	if k.out > 0 {
		// Few models are asked for often, and more seldom.
		model := (int(float64(models)*random.Float64()*random.Float64()) + favourite) % models
		session := random.IntN(24)
		r.Session = fmt.Sprintf("%s-%d-%d", k.name, model, session)
		r.Prompt = protocol.Prompt{Model: modelName(model), TokensIn: k.in, TokensOut: 2 + random.IntN(2*k.out-2),
			Parts: []protocol.Part{{ID: fmt.Sprintf("%x", 0xa000+model), Tokens: k.in / 3}, {ID: fmt.Sprintf("%x", 0xb0000+model*100+session), Tokens: k.in - k.in/3}}}
		switch {
		case r.CloseAfter > 0:
			r.Prompt.TokensOut = clientCloseTokens
		case number%exceedDeadlineEvery == 0 && k.resumable:
			r.Prompt.TokensOut, r.Deadline, r.ExceedsDeadline, r.MaxAttempts = exceedDeadlineTokens, 2*k.deadline, true, 1
		}
		if random.IntN(8) == 0 {
			r.Prompt.Adapter = fmt.Sprintf("a%d", 1+random.IntN(2))
		}
	}
	d.sending.Add(1)
	go func() {
		defer d.sending.Done()
		c := d.takeClient(r.Zone, number%3 != 0)
		// What has been sent is followed to its end, also when the day's traffic stops.
		c.Do(context.Background(), r)
		d.returnClient(r.Zone, c)
	}()
}

// take gives a client of a zone that has nothing under way.
func (d *Run) takeClient(zone string, keeps bool) *client.Client {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if list := d.idleClients[zone]; keeps && len(list) > 0 {
		c := list[len(list)-1]
		d.idleClients[zone] = list[:len(list)-1]
		return c
	}
	d.nameCount++
	name, attempt := fmt.Sprintf("client-%d", d.nameCount), 0
	return &client.Client{Recorder: d.Recorder, KeepAlive: keeps, NextAttemptID: d.nextAttemptID, PickDaemon: func(zone string) (client.Daemon, bool) {
		attempt++
		return d.Entry.Pick(name, attempt, zone)
	}}
}

func (d *Run) returnClient(zone string, c *client.Client) {
	if !c.KeepAlive {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.idleClients[zone] = append(d.idleClients[zone], c)
}

// probe asks each router that gets clients straight, on a path that shows the configuration in force.
func (d *Run) probe(path string, absent bool) {
	for _, m := range d.Fleet.OfClass(fleet.Edge) {
		if !d.Entry.Eligible(m) {
			continue
		}
		d.mutex.Lock()
		d.requestCount++
		id := fmt.Sprintf("p%d", d.requestCount)
		d.mutex.Unlock()
		c := &client.Client{Recorder: d.Recorder, NextAttemptID: d.nextAttemptID}
		r := &client.Request{ID: id, Kind: "probe", Host: host, Method: http.MethodPost, URI: path + "probe", Class: protocol.Idempotent, Deadline: 2 * time.Second, MaxAttempts: 1, Probe: true, Absent: absent,
			Only: &client.Daemon{Name: m.Name, Address: m.Front()}}
		d.sending.Add(1)
		go func() { defer d.sending.Done(); c.Do(context.Background(), r) }()
	}
}
