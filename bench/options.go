package bench

// Options selects the scenarios and variants that Run measures, the seed and the output directory.
type Options struct {
	// Seed seeds the arrivals and all random choices. Default 1.
	Seed int64
	// Scenarios are the names of the scenarios to run; empty means all.
	Scenarios []string
	// Variants are the names of the variants to run; empty means all. The scenarios without fake endpoints have variants of
	// their own and always run all of them.
	Variants []string
	// Directory receives the CSV files and HDR histograms; "" writes none.
	Directory string
}

func selected(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
