package quota

// Claimant is one participant in FairShares.
type Claimant struct {
	// Weight is positive. What is left above the floors is divided in proportion to the weights among the claimants whose
	// demand is not yet met.
	Weight float64
	// Demand is the most that the claimant can use.
	Demand float64
	// Floor is the share that the claimant gets in any case.
	Floor float64
}

// FairShares assigns the floors, divides the rest of the amount by weighted max-min
// fairness and returns the share of each claimant, in the same order. The rest is
// divided in proportion to the weights, up to the demands. No claimant
// gets more than its demand, or its floor if that is larger. The amount must cover
// the floors. What exceeds the total demand is not assigned.
func FairShares(amount float64, claimants []Claimant) []float64 {
	shares := make([]float64, len(claimants))
	unmet := make([]bool, len(claimants))
	remaining := amount
	for i, c := range claimants {
		shares[i] = c.Floor
		remaining -= c.Floor
		unmet[i] = c.Demand > c.Floor
	}
	for remaining > 0 {
		weight := unmetWeight(claimants, unmet)
		if weight == 0 {
			break
		}
		given := raiseShares(claimants, shares, unmet, remaining/weight)
		remaining -= given
		if given < amount*roundingTolerance {
			break
		}
	}
	return shares
}

// roundingTolerance is the relative error up to which two amounts count as equal. FairShares stops when a round assigns
// less than this fraction of the amount.
const roundingTolerance = 1e-12

// unmetWeight returns the sum of the weights of the unmet claimants.
func unmetWeight(claimants []Claimant, unmet []bool) float64 {
	sum := 0.0
	for i, c := range claimants {
		if unmet[i] {
			sum += c.Weight
		}
	}
	return sum
}

// raiseShares raises the share of each unmet claimant by perWeight times its weight, at most to its demand, and returns
// the sum of the increases. Claimants that reach their demand are no longer unmet.
func raiseShares(claimants []Claimant, shares []float64, unmet []bool, perWeight float64) float64 {
	given := 0.0
	for i, c := range claimants {
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
