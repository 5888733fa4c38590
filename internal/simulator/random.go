package simulator

import (
	"math/rand/v2"
	"sync"
)

// randomStream tells the simulation's random numbers from those of other users of the same seed.
const randomStream = 7

// Source is seeded randomness that many goroutines may use.
type Source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) *Source {
	return &Source{random: rand.New(rand.NewPCG(seed, randomStream))}
}

// IntN is a number from 0 to below n.
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Float64 is a number from 0 to below 1.
func (s *Source) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
