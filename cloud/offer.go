package cloud

// Offer describes instances that can be started: their zone, machine class and price.
type Offer struct {
	Zone       string `json:"zone"`
	Datacentre string `json:"datacentre"`
	// Class is the machine class.
	Class string `json:"class"`
	// Reclaimable instances can be reclaimed by the cloud after a notice.
	Reclaimable bool `json:"reclaimable"`
	// PricePerHour is in the operator's currency.
	PricePerHour float64 `json:"price_per_hour"`
}
