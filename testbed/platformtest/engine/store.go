package engine

import (
	"sync"
)

// Store is the store of weights of a service; each load takes longer in proportion beyond some at once.
type Store struct {
	// AtOnce is how many loads go at full speed; zero is any number.
	AtOnce int

	mutex sync.Mutex
	loads int
}

// begin counts a load in, and says how many times its usual time it takes.
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
