package routing

import "sync/atomic"

// random is a wait-free sequence of pseudo-random numbers (splitmix64 over a
// counter), because a *rand.Rand would need a lock in every decision.
type random struct {
	counter atomic.Uint64
}

// splitmixGamma is the increment of splitmix64 (Steele, Lea, Flood 2014).
const splitmixGamma = 0x9e3779b97f4a7c15

func (r *random) next() uint64 {
	return mix(r.counter.Add(splitmixGamma))
}

// mix is the output function of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// below returns a number in [0, n) from 32 random bits.
func below(bits uint32, n int) int {
	return int(uint64(bits) * uint64(n) >> 32)
}
