package tenantquota

import (
	"context"
	"math/rand/v2"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/process/quota"
)

// Neighbours are the daemons that a limiter may borrow from while the leader is out of reach.
type Neighbours struct {
	// Addresses gives the routing daemons of the own zone that are in contact.
	Addresses func() []string
	// Borrow asks one of them for tokens and gives how many it lent.
	Borrow func(ctx context.Context, address string, request quota.LoanRequest) (int, error)
}

// Lend spends this daemon's credit for a neighbour, and returns the number of tokens lent.
func (l *Limiter) Lend(request quota.LoanRequest, limit quota.Limit) int {
	lent, _ := read(l, func() int { return l.core.Lend(request, limit, l.Clock.Elapsed()) })
	return lent
}

// observeNeighbours tells the core how many neighbours there are, before it decides who may still borrow.
func (l *Limiter) observeNeighbours() {
	if l.Neighbours.Addresses == nil {
		return
	}
	l.addresses = l.Neighbours.Addresses()
	l.core.ObserveNeighbours(len(l.addresses))
}

// borrow asks neighbours for what requests wait for, while the leader is out of reach.
func (l *Limiter) borrow(now clock.Mark) {
	for len(l.addresses) > 0 {
		request, due := l.core.NextLoanRequest(now)
		if !due {
			return
		}
		go l.askNeighbour(l.addresses[rand.IntN(len(l.addresses))], request)
	}
}

// askNeighbour makes one call, on a goroutine of its own that ends with the actor's context.
func (l *Limiter) askNeighbour(address string, request quota.LoanRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, quota.LoanTimeout)
	defer cancel()
	lent, err := l.Neighbours.Borrow(ctx, address, request)
	if err != nil {
		lent = 0
	}
	l.mailbox.Send(func() { l.resolve(l.core.LoanAnswered(request, lent, l.Clock.Elapsed())) })
}
