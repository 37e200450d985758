package cloud

// Offer is a kind of instance that can be started.
type Offer struct {
	Zone       string `json:"zone"`
	Datacentre string `json:"datacentre"`
	// Class is the machine class.
	Class string `json:"class"`
	// Reclaimable instances can be taken away after a notice.
	Reclaimable bool `json:"reclaimable"`
	// PricePerHour is in the operator's currency.
	PricePerHour float64 `json:"price_per_hour"`
}
