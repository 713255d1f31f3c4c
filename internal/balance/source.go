package balance

import (
	"math/rand/v2"
	"sync"
)

// source is a seeded random source for concurrent use.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource() *source {
	s := &source{}
	s.Seed(1)
	return s
}

// Seed restarts the source with a new seed.
func (s *source) Seed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random = rand.New(rand.NewPCG(seed, seed))
}

func (s *source) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// pair returns two different indexes below n, which must be at least 2.
func (s *source) pair(n int) (first, second int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = s.random.IntN(n)
	second = s.random.IntN(n - 1)
	if second >= first {
		second++
	}
	return first, second
}

func (s *source) float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
