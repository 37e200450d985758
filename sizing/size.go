package sizing

// Size is the wanted number of endpoints of one kind of a service in a data centre.
type Size struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
	// Have is the number that is there now and not leaving.
	Have int
}
