package quota

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

// The exploration plays every order of events of a small fleet, with a fault at every place where there can be one. Time
// passes by ticks only, so that orders of events at one moment that come to the same state are played on once.
const (
	explorationTick = 200 * time.Millisecond
	// explorationRequests is how often clients of each daemon send explorationClump requests at once.
	explorationRequests = 2
	explorationClump    = 14
	// explorationBalance is the credit in tokens with which each daemon begins.
	explorationBalance = 0.5
)

// explorationLimit lets the requests of all daemons exceed the bound by far.
var explorationLimit = Limit{RatePerSecond: 1, Burst: 12}

// explorationSettings have a margin as small as the limit, so that few requests exceed the bound.
var explorationSettings = Settings{Window: 5 * time.Second, Excess: 0.1, Margin: 8}

// exploredAction is something that happens in the explored fleet, to one daemon or to the leader.
type exploredAction struct {
	kind   actionKind
	daemon int
}

// actionKind is a kind of exploredAction. Those from actionLoseRequest on are faults.
type actionKind int

const (
	actionTick actionKind = iota
	actionClients
	// actionCall has the leader serve a request and the daemon receive the reply.
	actionCall
	// actionReceive has a daemon receive a reply that was held up.
	actionReceive
	actionLoseRequest
	// actionHoldReply has the leader serve a request, and the reply be held up, perhaps for ever.
	actionHoldReply
	actionRepeatReply
	actionCrash
	actionChangeLeader
)

// explorationSize is how large an explored fleet is, and how often time passes.
type explorationSize struct {
	daemons, ticks int
}

// exploredFleet is the state of an explored fleet.
type exploredFleet struct {
	size      explorationSize
	now       clock.Mark
	ticks     int
	faults    int
	term      uint64
	allocator *Allocator
	daemons   []*exploredDaemon
	sent      []time.Duration
	// forgetsRequests has limiters accept replies to requests other than the one in progress.
	forgetsRequests bool
	// fullBuckets has each leader begin with full buckets.
	fullBuckets bool
}

// exploredDaemon is a limiter with at most one message on its way.
type exploredDaemon struct {
	limiter     *Limiter
	incarnation int
	clients     int
	request     *Request
	reply       *Reply
	waiting     int
}

func newExploredFleet(broken exploredFleet) *exploredFleet {
	f := &broken
	f.now = 100 * second
	for i := range f.size.daemons {
		f.daemons = append(f.daemons, &exploredDaemon{limiter: NewLimiter(exploredID(i, 1)), incarnation: 1})
	}
	f.lead()
	// The leader has led for so long that its buckets are full.
	f.allocator.Lead(f.term, nil, f.now-60*second)
	return f
}

func exploredID(daemon, incarnation int) ident.NodeID {
	return ident.NodeID(fmt.Sprintf("daemon-%d#%d", daemon, incarnation))
}

func explorationLimitOf(string) (Limit, bool) { return explorationLimit, true }

// lead begins a term.
func (f *exploredFleet) lead() {
	f.term++
	f.allocator = NewAllocator(explorationSettings)
	var members []ident.NodeID
	for i, d := range f.daemons {
		members = append(members, exploredID(i, d.incarnation))
	}
	f.allocator.Lead(f.term, members, f.now)
	if f.fullBuckets {
		f.allocator.first = true
	}
	f.observeLeader()
}

// observeLeader tells the daemons of the leader.
func (f *exploredFleet) observeLeader() {
	for _, d := range f.daemons {
		d.limiter.ObserveLeader(f.term, f.size.daemons, f.now)
		f.pump(d)
	}
}

// pump puts a daemon's next request on its way.
func (f *exploredFleet) pump(d *exploredDaemon) {
	if request, due := d.limiter.NextRequest(f.now); due {
		d.request = &request
	}
}

// actions returns what may happen next. Of daemons that are alike, only the first acts.
func (f *exploredFleet) actions() []exploredAction {
	var actions []exploredAction
	if f.ticks < f.size.ticks {
		actions = append(actions, exploredAction{kind: actionTick})
	}
	alike := make(map[string]struct{})
	for i, d := range f.daemons {
		key := f.daemonKey(exploredID(i, d.incarnation), d)
		if _, known := alike[key]; known {
			continue
		}
		alike[key] = struct{}{}
		actions = append(actions, f.daemonActions(i, d)...)
	}
	if f.faults == 0 {
		actions = append(actions, exploredAction{kind: actionChangeLeader})
	}
	return actions
}

// daemonActions returns what may happen to one daemon next.
func (f *exploredFleet) daemonActions(i int, d *exploredDaemon) []exploredAction {
	var actions []exploredAction
	if d.clients < explorationRequests {
		actions = append(actions, exploredAction{actionClients, i})
	}
	if d.request != nil {
		actions = append(actions, exploredAction{actionCall, i})
	}
	if d.reply != nil {
		actions = append(actions, exploredAction{actionReceive, i})
	}
	if f.faults > 0 {
		return actions
	}
	actions = append(actions, exploredAction{actionCrash, i})
	if d.request != nil {
		actions = append(actions, exploredAction{actionLoseRequest, i}, exploredAction{actionHoldReply, i},
			exploredAction{actionRepeatReply, i})
	}
	return actions
}

// play makes one action happen.
func (f *exploredFleet) play(action exploredAction) {
	d := f.daemons[action.daemon]
	if action.kind >= actionLoseRequest {
		f.faults++
	}
	switch action.kind {
	case actionTick:
		f.tick()
	case actionClients:
		d.clients++
		// Daemons begin with equal fractions of a token, so that they are alike.
		if _, found := d.limiter.tenants["t"]; !found {
			d.limiter.tenantOf("t", explorationLimit, f.now).credit.balance = explorationBalance
		}
		for range explorationClump {
			f.decided(d, d.limiter.Take("t", explorationLimit, f.now))
		}
		f.pump(d)
	case actionCall:
		f.serve(d)
		f.receive(d)
	case actionReceive:
		f.receive(d)
	case actionLoseRequest:
		d.request = nil
	case actionHoldReply:
		f.serve(d)
	case actionRepeatReply:
		f.serve(d)
		repeated := d.reply
		f.receive(d)
		d.reply = repeated
	case actionCrash:
		incarnation := d.incarnation + 1
		limiter := NewLimiter(exploredID(action.daemon, incarnation))
		f.daemons[action.daemon] = &exploredDaemon{limiter: limiter, incarnation: incarnation, clients: d.clients}
		f.observeLeader()
	case actionChangeLeader:
		f.lead()
	}
}

// tick lets time pass. Calls that have taken too long then count as not answered.
func (f *exploredFleet) tick() {
	f.ticks++
	f.now += clock.Mark(explorationTick)
	for _, d := range f.daemons {
		if d.limiter.progress != nil && f.now.Since(d.limiter.progress.sentAt) > callTimeout {
			d.request = nil
			f.resolved(d, d.limiter.Unanswered(f.now))
		}
		f.pump(d)
	}
}

// serve has the leader handle a daemon's request.
func (f *exploredFleet) serve(d *exploredDaemon) {
	request := *d.request
	d.request = nil
	if reply, err := f.allocator.Allot(request, explorationLimitOf, f.now); err == nil {
		d.reply = &reply
	}
}

// receive hands a daemon the reply that is on its way, if there is one.
func (f *exploredFleet) receive(d *exploredDaemon) {
	if d.reply == nil {
		return
	}
	reply := *d.reply
	d.reply = nil
	if f.forgetsRequests && d.limiter.progress == nil {
		d.limiter.progress = &requestInProgress{sequence: reply.Sequence, sentAt: f.now}
	}
	f.resolved(d, d.limiter.Replied(reply, f.now))
}

// decided counts what is sent.
func (f *exploredFleet) decided(d *exploredDaemon, decision Decision) {
	switch decision.Outcome {
	case Granted:
		f.sent = append(f.sent, time.Duration(f.now))
	case Pending:
		d.waiting++
	case Denied:
	}
}

func (f *exploredFleet) resolved(d *exploredDaemon, resolutions []Resolution) {
	d.waiting -= len(resolutions)
	for _, resolution := range resolutions {
		f.decided(d, resolution.Decision)
	}
	f.pump(d)
}

// key describes the state: equal keys go on alike. It does not tell which daemon is which.
func (f *exploredFleet) key() string {
	var key strings.Builder
	fmt.Fprintln(&key, f.ticks, f.faults, f.term, len(f.sent), f.allocator.expireAt, len(f.allocator.unreported))
	for _, tenant := range f.allocator.tenants {
		fmt.Fprintln(&key, tenant.bucket, tenant.reportedStanding, tenant.retryAt)
	}
	var daemons []string
	for i, d := range f.daemons {
		daemons = append(daemons, f.daemonKey(exploredID(i, d.incarnation), d))
	}
	slices.Sort(daemons)
	return key.String() + strings.Join(daemons, "")
}

// daemonKey describes the state of one daemon, here and at the leader.
func (f *exploredFleet) daemonKey(id ident.NodeID, d *exploredDaemon) string {
	var key strings.Builder
	if contact := f.allocator.daemons[id]; contact != nil {
		fmt.Fprint(&key, contact.last, contact.sequence)
		for _, allowance := range contact.allowances {
			fmt.Fprint(&key, allowance.newest, allowance.previous, allowance.chargedTo, allowance.reserved, allowance.refundable)
		}
	}
	_, unreported := f.allocator.unreported[id]
	fmt.Fprintln(&key, unreported, d.incarnation, d.clients, d.waiting, d.limiter.contact, d.limiter.sequence, d.limiter.activeAt)
	if d.request != nil {
		fmt.Fprintln(&key, "request", d.request.Sequence, d.request.Term, d.request.Claims)
	}
	if d.reply != nil {
		fmt.Fprintln(&key, "reply", *d.reply)
	}
	if d.limiter.progress != nil {
		fmt.Fprintln(&key, "progress", *d.limiter.progress)
	}
	if tenant := d.limiter.tenants["t"]; tenant != nil {
		fmt.Fprintln(&key, tenant.tokens, tenant.rate, tenant.standing, tenant.credit, tenant.deniedUntil)
	}
	return key.String()
}

// replay plays actions from the beginning.
func replay(broken exploredFleet, actions []exploredAction) *exploredFleet {
	f := newExploredFleet(broken)
	for _, action := range actions {
		f.play(action)
	}
	return f
}

// explore plays every order of events, up to a first one that exceeds the bound, and returns the number of states with the
// highest excess.
func explore(broken exploredFleet, stopAt float64) (states int, highest float64, worst []exploredAction) {
	seen := map[string]struct{}{}
	changes := []limitChange{{limit: explorationLimit}}
	highest = highestExcess([]time.Duration{0}, changes, explorationSettings)
	paths := [][]exploredAction{nil}
	for len(paths) > 0 {
		path := paths[len(paths)-1]
		paths = paths[:len(paths)-1]
		f := replay(broken, path)
		key := f.key()
		if _, known := seen[key]; known {
			continue
		}
		seen[key] = struct{}{}
		if len(f.sent) > 0 {
			if excess := highestExcess(f.sent, changes, explorationSettings); excess > highest {
				highest, worst = excess, path
			}
		}
		if highest > stopAt {
			break
		}
		for _, action := range f.actions() {
			paths = append(paths, append(slices.Clone(path), action))
		}
	}
	return len(seen), highest, worst
}

func TestNoOrderOfEventsExceedsTheBound(t *testing.T) {
	t.Parallel()
	sizes := []explorationSize{{daemons: 3}, {daemons: 1, ticks: 3}}
	if os.Getenv("CRESSPOND_SEEDS") != "" {
		sizes = append(sizes, explorationSize{daemons: 2, ticks: 1})
	}
	if os.Getenv("CRESSPOND_EXPLORE") != "" {
		// This takes minutes.
		sizes = append(sizes, explorationSize{daemons: 3, ticks: 1})
	}
	for _, size := range sizes {
		states, highest, worst := explore(exploredFleet{size: size}, 0)
		t.Logf("%+v: %d states, %.1f requests above the bound at most, after %v", size, states, highest, worst)
		if highest > 0 {
			t.Error("the bound is broken")
		}
	}
}

func TestExplorationSeesDefects(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]exploredFleet{
		"a reply spent twice":            {forgetsRequests: true},
		"a new leader with full buckets": {fullBuckets: true},
	} {
		t.Run(name, func(t *testing.T) {
			broken.size.daemons = 3
			states, highest, worst := explore(broken, 0)
			t.Logf("%d states, %.1f requests above the bound, after %v", states, highest, worst)
			if highest <= 0 {
				t.Error("the defect isn't seen")
			}
		})
	}
}
