package cloud

// StartOrder asks for one instance of an offer.
type StartOrder struct {
	// OperationID recognises an order that is sent again.
	OperationID string `json:"operation_id"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence       uint64 `json:"fence"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	// Service names the service whose endpoint is to run; "" starts an entry instance.
	Service string `json:"service,omitempty"`
}

// StopOrder ends one instance.
type StopOrder struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
}
