package endpointlimit

import (
	"math"
	"time"
)

// Share is the part of all limits that belongs to one instance.
type Share struct {
	// Instances is the number of instances, and Rank the position of this one among them, from 0.
	Instances, Rank int
	// FleetTime is the time of day that all instances estimate, at the moment at which the Share is set.
	FleetTime time.Time
}

// AssumedInstances is the number of instances to assume while it is not known.
const AssumedInstances = 360

// position returns the number of instances, at least 1, and the position of this instance's turns among theirs. Consecutive ranks
// have positions far apart: while some instances have not heard of others that joined or left, two can use the same position, or
// a whole group the positions of another one, and what they send then spreads over all positions.
func (s Share) position() (n, position uint64) {
	n = uint64(max(s.Instances, 1))
	return n, uint64(max(s.Rank, 0)) % n * strideOf(n) % n
}

// strideOf returns the distance between the positions of consecutive ranks among n. It has no common factor with n and is near
// the golden section of n, so that the positions of any range of ranks are spread evenly.
func strideOf(n uint64) uint64 {
	nearest := uint64(math.Round(float64(n) / math.Phi))
	for d := uint64(0); d < nearest; d++ {
		for _, stride := range []uint64{nearest - d, nearest + d} {
			if greatestCommonDivisor(stride, n) == 1 {
				return stride
			}
		}
	}
	return 1
}

func greatestCommonDivisor(a, b uint64) uint64 {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
