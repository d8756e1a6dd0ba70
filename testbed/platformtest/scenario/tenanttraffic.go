package scenario

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cresspond/cresspond/testbed/platformtest/client"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// openRate is how many requests a second go to the public route; one in openKeyedEvery of them carries a key.
const (
	openRate       = 2
	openKeyedEvery = 2
)

// startOpenTraffic starts the requests for the public route.
func (r *Run) startOpenTraffic(ctx context.Context) {
	if !r.hasTenants() {
		return
	}
	random := rand.New(rand.NewPCG(r.Seed, 200))
	r.sending.Go(func() {
		for ctx.Err() == nil {
			r.pause(ctx, time.Duration(random.ExpFloat64()/(openRate*r.Scale)*float64(time.Second)))
			if ctx.Err() == nil {
				r.sendOpen(random)
			}
		}
	})
}

// sendOpen sends one request to the public route, with a key or without.
func (r *Run) sendOpen(random *rand.Rand) {
	number := r.nextNumber()
	request := plainRequest("open", publicPath, number, random)
	if random.IntN(openKeyedEvery) == 0 {
		r.identify(request, number, random)
	} else if number%forgeEvery == 0 {
		request.ForgedTenants = []string{tenantName(random.IntN(tenantCount))}
	}
	r.dispatch(request, true)
}

// plainRequest makes a request that may be repeated, without a prompt.
func plainRequest(kind, path string, number int, random *rand.Rand) *client.Request {
	return &client.Request{ID: fmt.Sprintf("r%d", number), Kind: kind, Zone: zones[random.IntN(len(zones))], Host: host, Method: http.MethodPost, URI: fmt.Sprintf("%sx?n=%d", path, number),
		Body: bytes.Repeat([]byte{byte('a' + number%26)}, 20+random.IntN(1000)), Class: protocol.Idempotent, Deadline: 2500 * ms, Target: 500 * ms, Gap: 400 * ms, MaxAttempts: 3}
}

// sendAs sends requests of one tenant at a rate, beside its usual ones, until ctx ends; adjust changes each.
func (r *Run) sendAs(ctx context.Context, label string, perSecond float64, adjust func(*client.Request)) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(300+r.draw(1000))))
	for ctx.Err() == nil {
		r.pause(ctx, time.Duration(random.ExpFloat64()/(perSecond*r.Scale)*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		number := r.nextNumber()
		request := plainRequest("note", "/note/", number, random)
		r.identifyAs(request, label, number, random)
		if adjust != nil {
			adjust(request)
		}
		r.dispatch(request, number%3 != 0)
	}
}

// nextNumber numbers requests.
func (r *Run) nextNumber() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requestCount++
	return r.requestCount
}
