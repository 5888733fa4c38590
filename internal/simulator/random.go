package simulator

import (
	"math/rand/v2"
	"sync"
)

// randomStream is the stream of the simulation's generator; other users of the same seed have other streams.
const randomStream = 7

// Source is a seeded random number generator that is safe for concurrent use.
type Source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) *Source {
	return &Source{random: rand.New(rand.NewPCG(seed, randomStream))}
}

// IntN returns a number in [0, n).
func (s *Source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
