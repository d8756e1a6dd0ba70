// Package bid orders those who want room: the same for what a daemon holds and for an engine's slots.
package bid

import "cmp"

// Bid is what one request offers.
type Bid struct {
	Seated bool
	Worth  int64
	Rank   int
	House  string
}

// Turns counts how often each house was served.
type Turns map[string]float64

// Compare puts the bid that goes first in front: the seated, then the higher worth, then the lower
// rank, then the house that was served least.
func (t Turns) Compare(a, b Bid) int {
	return cmp.Or(
		cmp.Compare(unseated(a), unseated(b)),
		cmp.Compare(b.Worth, a.Worth),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(t[a.House], t[b.House]),
	)
}

func unseated(b Bid) int {
	if b.Seated {
		return 0
	}
	return 1
}

// Serve counts a house's turn, given the houses that still wait. One that was quiet joins at their
// least count and brings no credit.
func (t Turns) Serve(house string, waiting func(yield func(string) bool)) {
	least := -1.0
	for other := range waiting {
		if turn := t[other]; least < 0 || turn < least {
			least = turn
		}
	}
	t[house] = max(t[house], least) + 1
}
