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

// requestKind is one kind of request.
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
	// One request in clientCloseEvery is closed early by its client; it asks for clientCloseTokens.
	clientCloseEvery, clientCloseTokens = 19, 600
	// One request in exceedDeadlineEvery exceeds its route's deadline, where its kind can: the client waits for
	// longer, and asks for more tokens than an engine generates by then.
	exceedDeadlineEvery, exceedDeadlineTokens = 37, 9000
)

// startTraffic starts all kinds of requests as an open workload: their times do not depend on earlier answers.
func (r *Run) startTraffic(ctx context.Context) {
	for n, k := range kinds {
		random := rand.New(rand.NewPCG(r.Seed, uint64(100+n)))
		r.sending.Add(1)
		go func() {
			defer r.sending.Done()
			for ctx.Err() == nil {
				r.mutex.Lock()
				rate := k.perSecond * r.Scale * r.loadFactor
				r.mutex.Unlock()
				r.pause(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
				if ctx.Err() == nil {
					r.sendRequest(k, random)
				}
			}
		}()
	}
}

// sendRequest sends one request of a kind from a client of a random zone.
func (r *Run) sendRequest(k requestKind, random *rand.Rand) {
	r.mutex.Lock()
	r.requestCount++
	number := r.requestCount
	favourite := r.modelOffset
	path := "/" + k.name + "/"
	if k.class == protocol.Idempotent && len(r.addedPaths) > 0 && random.IntN(3) == 0 {
		path = r.addedPaths[random.IntN(len(r.addedPaths))]
	}
	r.mutex.Unlock()
	request := &client.Request{ID: fmt.Sprintf("r%d", number), Kind: k.name, Zone: zones[random.IntN(len(zones))], Host: host, Method: http.MethodPost, URI: fmt.Sprintf("%sx?n=%d", path, number),
		Body: bytes.Repeat([]byte{byte('a' + number%26)}, 20+random.IntN(3000)), Chunked: random.IntN(2) == 0, Class: k.class, Resumable: k.resumable, Deadline: k.deadline, Target: k.target, Gap: 400 * ms, MaxAttempts: k.tries,
		Impatient: random.IntN(20) == 0}
	if number%clientCloseEvery == 0 {
		request.CloseAfter = 60*ms + time.Duration(number*37%800)*ms
	}
	if k.out > 0 {
		// A few models get most of the requests.
		model := (int(float64(models)*random.Float64()*random.Float64()) + favourite) % models
		session := random.IntN(24)
		request.Session = fmt.Sprintf("%s-%d-%d", k.name, model, session)
		request.Prompt = protocol.Prompt{Model: modelName(model), TokensIn: k.in, TokensOut: 2 + random.IntN(2*k.out-2),
			Parts: []protocol.Part{{ID: fmt.Sprintf("%x", 0xa000+model), Tokens: k.in / 3}, {ID: fmt.Sprintf("%x", 0xb0000+model*100+session), Tokens: k.in - k.in/3}}}
		switch {
		case request.CloseAfter > 0:
			request.Prompt.TokensOut = clientCloseTokens
		case number%exceedDeadlineEvery == 0 && k.resumable:
			request.Prompt.TokensOut, request.Deadline, request.ExceedsDeadline, request.MaxAttempts = exceedDeadlineTokens, 2*k.deadline, true, 1
		}
		if random.IntN(8) == 0 {
			request.Prompt.Adapter = fmt.Sprintf("a%d", 1+random.IntN(2))
		}
	}
	r.identify(request, number, random)
	r.dispatch(request, number%3 != 0)
}

// dispatch sends a request from a client of its zone; keeps says whether the client keeps its connection.
func (r *Run) dispatch(request *client.Request, keeps bool) {
	r.sending.Add(1)
	go func() {
		defer r.sending.Done()
		c := r.takeClient(request.Zone, keeps)
		// A request that was sent is completed even when the traffic stops.
		c.Do(context.Background(), request)
		r.returnClient(request.Zone, c)
	}()
}

// takeClient takes an idle client of a zone, or makes a new one.
func (r *Run) takeClient(zone string, keeps bool) *client.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if list := r.idleClients[zone]; keeps && len(list) > 0 {
		c := list[len(list)-1]
		r.idleClients[zone] = list[:len(list)-1]
		return c
	}
	r.nameCount++
	name, attempt := fmt.Sprintf("client-%d", r.nameCount), 0
	return &client.Client{Recorder: r.Recorder, KeepAlive: keeps, NextAttemptID: r.nextAttemptID, PickDaemon: func(zone string) (client.Daemon, bool) {
		attempt++
		return r.Entry.Pick(name, attempt, zone)
	}}
}

func (r *Run) returnClient(zone string, c *client.Client) {
	if !c.KeepAlive {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.idleClients[zone] = append(r.idleClients[zone], c)
}

// probe sends a request directly to each eligible router, on a path that shows the configuration in force.
func (r *Run) probe(path string, absent bool) {
	credential := tenantKey{}
	if r.hasTenants() {
		credential = r.currentKey(unlimitedTenant)
	}
	r.probeAs(credential, path, absent)
}

// probeKey does so with a key that was taken away.
func (r *Run) probeKey(removed tenantKey) { r.probeAs(removed, "/note/", true) }

// probeAs does so with a key.
func (r *Run) probeAs(credential tenantKey, path string, absent bool) {
	for _, m := range r.Fleet.OfClass(fleet.Edge) {
		if !r.Entry.Eligible(m) {
			continue
		}
		r.mutex.Lock()
		r.requestCount++
		id := fmt.Sprintf("p%d", r.requestCount)
		r.mutex.Unlock()
		c := &client.Client{Recorder: r.Recorder, NextAttemptID: r.nextAttemptID}
		request := &client.Request{ID: id, Kind: "probe", Host: host, Method: http.MethodPost, URI: path + "probe", Class: protocol.Idempotent, Deadline: 2 * time.Second, MaxAttempts: 1, Key: credential.key, Tenant: credential.tenant, Probe: true, Absent: absent,
			Only: &client.Daemon{Name: m.Name, Address: m.Front()}}
		r.sending.Add(1)
		go func() { defer r.sending.Done(); c.Do(context.Background(), request) }()
	}
}
