package sizing

// Size is the wanted number of endpoints of one service and kind, reclaimable or on demand, in a data centre.
type Size struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	// Count is the wanted number.
	Count int
	// Demand is the demand that the number was planned for.
	Demand Demand
	// Current is the number of listed endpoints that are not leaving.
	Current int
}
