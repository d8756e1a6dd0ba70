package engine

import (
	"sync"
)

// Store is the store of weights of a service. Beyond AtOnce concurrent loads each takes longer in proportion.
type Store struct {
	// AtOnce is how many concurrent loads go at full speed; zero is any number.
	AtOnce int

	mutex sync.Mutex
	loads int
}

// begin counts a load in, and returns by what factor it is slower than usual.
func (s *Store) begin() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loads++
	if s.AtOnce == 0 || s.loads <= s.AtOnce {
		return 1
	}
	return float64(s.loads) / float64(s.AtOnce)
}

func (s *Store) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loads--
}
