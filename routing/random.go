package routing

import "sync/atomic"

// splitmix64 is a wait-free generator of pseudo-random numbers: the splitmix64 function of an atomic counter. A
// *rand.Rand would need a lock in every decision.
type splitmix64 struct {
	counter atomic.Uint64
}

// splitmixGamma is the increment of splitmix64 (Steele, Lea, Flood 2014).
const splitmixGamma = 0x9e3779b97f4a7c15

func (r *splitmix64) next() uint64 {
	return mix(r.counter.Add(splitmixGamma))
}

// mix is the output function of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intN maps 32 random bits to a number in [0, n).
func intN(bits uint32, n int) int {
	return int(uint64(bits) * uint64(n) >> 32)
}
