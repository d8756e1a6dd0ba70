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
type kind struct {
	name      string
	perSecond float64
	class     string
	resumable bool
	deadline  time.Duration
	aim       time.Duration
	in, out   int
	tries     int
}

var kinds = []kind{
	{"triage", 5, protocol.Streaming, false, 5 * time.Second, 1500 * ms, 500, 16, 2},
	{"draft", 3, protocol.Streaming, true, 9 * time.Second, 4 * time.Second, 300, 60, 2},
	{"note", 6, protocol.Idempotent, false, 2500 * ms, 500 * ms, 0, 0, 3},
	{"mail", 3, protocol.Mutating, false, 2500 * ms, 500 * ms, 0, 0, 2},
}

const host = "ci.example"

const (
	// leaverEach is of how many requests one is left by its client before long, leaverTokens how many it asks for.
	leaverEach, leaverTokens = 19, 600
	// outlastEach is of how many requests one outlasts its route's deadline, where its kind can: the client waits for
	// longer, and asks for more than an engine says by then.
	outlastEach, outlastTokens = 37, 9000
)

// send starts all kinds of requests; they come at random times whatever becomes of those before.
func (d *Day) send(ctx context.Context) {
	for n, k := range kinds {
		random := rand.New(rand.NewPCG(d.Seed, uint64(100+n)))
		d.sending.Add(1)
		go func() {
			defer d.sending.Done()
			for ctx.Err() == nil {
				d.mutex.Lock()
				rate := k.perSecond * d.Scale * d.rush
				d.mutex.Unlock()
				d.pause(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
				if ctx.Err() == nil {
					d.launch(k, random)
				}
			}
		}()
	}
}

// launch sends one request of a kind from a client of a random zone.
func (d *Day) launch(k kind, random *rand.Rand) {
	d.mutex.Lock()
	d.requests++
	number := d.requests
	favourite := d.favourite
	path := "/" + k.name + "/"
	if k.class == protocol.Idempotent && len(d.added) > 0 && random.IntN(3) == 0 {
		path = d.added[random.IntN(len(d.added))]
	}
	d.mutex.Unlock()
	r := &client.Request{ID: fmt.Sprintf("r%d", number), Kind: k.name, Zone: zones[random.IntN(len(zones))], Host: host, Method: http.MethodPost, URI: fmt.Sprintf("%sx?n=%d", path, number),
		Body: bytes.Repeat([]byte{byte('a' + number%26)}, 20+random.IntN(3000)), Chunked: random.IntN(2) == 0, Class: k.class, Resumable: k.resumable, Deadline: k.deadline, Aim: k.aim, Gap: 400 * ms, Tries: k.tries,
		Impatient: random.IntN(20) == 0}
	if number%leaverEach == 0 {
		r.LeavesAfter = 60*ms + time.Duration(number*37%800)*ms
	}
	if k.out > 0 {
		// Few models are asked for often, and more seldom.
		model := (int(float64(models)*random.Float64()*random.Float64()) + favourite) % models
		session := random.IntN(24)
		r.Session = fmt.Sprintf("%s-%d-%d", k.name, model, session)
		r.Prompt = protocol.Prompt{Model: modelName(model), TokensIn: k.in, TokensOut: 2 + random.IntN(2*k.out-2),
			Parts: []protocol.Part{{ID: fmt.Sprintf("%x", 0xa000+model), Tokens: k.in / 3}, {ID: fmt.Sprintf("%x", 0xb0000+model*100+session), Tokens: k.in - k.in/3}}}
		switch {
		case r.LeavesAfter > 0:
			r.Prompt.TokensOut = leaverTokens
		case number%outlastEach == 0 && k.resumable:
			r.Prompt.TokensOut, r.Deadline, r.Outlasts, r.Tries = outlastTokens, 2*k.deadline, true, 1
		}
		if random.IntN(8) == 0 {
			r.Prompt.Adapter = fmt.Sprintf("a%d", 1+random.IntN(2))
		}
	}
	d.sending.Add(1)
	go func() {
		defer d.sending.Done()
		c := d.take(r.Zone, number%3 != 0)
		// What has been sent is followed to its end, also when the day's traffic stops.
		c.Do(context.Background(), r)
		d.give(r.Zone, c)
	}()
}

// take gives a client of a zone that has nothing under way.
func (d *Day) take(zone string, keeps bool) *client.Client {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if list := d.idle[zone]; keeps && len(list) > 0 {
		c := list[len(list)-1]
		d.idle[zone] = list[:len(list)-1]
		return c
	}
	d.named++
	name, try := fmt.Sprintf("client-%d", d.named), 0
	return &client.Client{Book: d.Book, Keeps: keeps, NextAttempt: d.attempts, Enter: func(zone string) (client.Daemon, bool) {
		try++
		return d.Entry.Enter(name, try, zone)
	}}
}

func (d *Day) give(zone string, c *client.Client) {
	if !c.Keeps {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.idle[zone] = append(d.idle[zone], c)
}

// probe asks each router that gets clients straight, on a path that shows the configuration in force.
func (d *Day) probe(path string, absent bool) {
	for _, m := range d.Fleet.Of(fleet.Edge) {
		if !d.Entry.In(m) {
			continue
		}
		d.mutex.Lock()
		d.requests++
		id := fmt.Sprintf("p%d", d.requests)
		d.mutex.Unlock()
		c := &client.Client{Book: d.Book, NextAttempt: d.attempts}
		r := &client.Request{ID: id, Kind: "probe", Host: host, Method: http.MethodPost, URI: path + "probe", Class: protocol.Idempotent, Deadline: 2 * time.Second, Tries: 1, Probe: true, Absent: absent,
			At: &client.Daemon{Name: m.Name, Address: m.Front()}}
		d.sending.Add(1)
		go func() { defer d.sending.Done(); c.Do(context.Background(), r) }()
	}
}
