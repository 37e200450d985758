package quota

// Claim is the input of FairShares for one claimant.
type Claim struct {
	// Weight is relative and positive. Demand is the amount that the claimant can use, Floor its least share.
	Weight float64
	Demand float64
	Floor  float64
}

// FairShares divides an amount by weighted max-min fairness and returns the
// share of each claim, in the same order. No claimant gets more than its demand,
// or its floor if that is larger, and claimants whose demand is not met get
// shares in proportion to their weights. The amount must cover the floors. What
// exceeds the total demand is not assigned.
func FairShares(amount float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	unmet := make([]bool, len(claims))
	remaining := amount
	for i, c := range claims {
		shares[i] = c.Floor
		remaining -= c.Floor
		unmet[i] = c.Demand > c.Floor
	}
	for remaining > 0 {
		weight := unmetWeight(claims, unmet)
		if weight == 0 {
			break
		}
		given := raiseShares(claims, shares, unmet, remaining/weight)
		remaining -= given
		if given < amount*roundingTolerance {
			break
		}
	}
	return shares
}

// roundingTolerance is the fraction of an amount that counts as a rounding error. FairShares stops when a round assigns
// less than that.
const roundingTolerance = 1e-12

// unmetWeight returns the sum of the weights of the unmet claims.
func unmetWeight(claims []Claim, unmet []bool) float64 {
	sum := 0.0
	for i, c := range claims {
		if unmet[i] {
			sum += c.Weight
		}
	}
	return sum
}

// raiseShares raises the share of each unmet claim by perWeight times its weight, at most to its demand, and returns
// the sum of the increases. Claims that reach their demand are no longer unmet.
func raiseShares(claims []Claim, shares []float64, unmet []bool, perWeight float64) float64 {
	given := 0.0
	for i, c := range claims {
		if !unmet[i] {
			continue
		}
		increase := perWeight * c.Weight
		if missing := c.Demand - shares[i]; increase >= missing {
			increase = missing
			unmet[i] = false
		}
		shares[i] += increase
		given += increase
	}
	return given
}
