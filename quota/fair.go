package quota

// Claim is one claimant's part in a division.
type Claim struct {
	// Weight is relative and positive. Demand is what the claimant can use, Floor what it gets at least.
	Weight float64
	Demand float64
	Floor  float64
}

// FairShares divides an amount by weighted max-min fairness: nobody gets more
// than its demand (or its floor, if that is larger) while another one's is
// unmet, and unmet claimants get shares in proportion to their weights. The
// amount must cover the floors. What no one demands is left over.
func FairShares(amount float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	open := make([]bool, len(claims))
	left := amount
	for i, c := range claims {
		shares[i] = c.Floor
		left -= c.Floor
		open[i] = c.Demand > c.Floor
	}
	for left > 0 {
		weight := openWeight(claims, open)
		if weight == 0 {
			break
		}
		spent := fill(claims, shares, open, left/weight)
		left -= spent
		if spent < amount*roundingShare {
			break
		}
	}
	return shares
}

// roundingShare ends the division when only a rounding error is left.
const roundingShare = 1e-12

func openWeight(claims []Claim, open []bool) float64 {
	sum := 0.0
	for i, c := range claims {
		if open[i] {
			sum += c.Weight
		}
	}
	return sum
}

// fill gives each open claimant level times its weight, at most up to its demand, and returns what was given.
func fill(claims []Claim, shares []float64, open []bool, level float64) float64 {
	given := 0.0
	for i, c := range claims {
		if !open[i] {
			continue
		}
		add := level * c.Weight
		if need := c.Demand - shares[i]; add >= need {
			add = need
			open[i] = false
		}
		shares[i] += add
		given += add
	}
	return given
}
