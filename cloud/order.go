package cloud

// StartOrder asks for one instance of an offer.
type StartOrder struct {
	// OperationID deduplicates retries of the same order.
	OperationID string `json:"operation_id"`
	// Fence is the fencing token of the lease that the sender of the order holds.
	Fence       uint64 `json:"fence"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	// Service is the service whose endpoint the instance runs; "" starts an entry instance.
	Service string `json:"service,omitempty"`
}

// StopOrder asks to stop one instance.
type StopOrder struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
}
