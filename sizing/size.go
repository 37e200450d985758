package sizing

// Size is the wanted number of endpoints of one service and kind, reclaimable or on demand, in a data centre.
type Size struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	// Count is the wanted number.
	Count int
	// Current is the number of listed endpoints that are not leaving.
	Current int
}
