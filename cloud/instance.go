package cloud

// State is the state of an instance.
type State string

// States of an instance. An instance that has ended is not listed.
const (
	StateStarting State = "starting"
	StateRunning  State = "running"
	StateLeaving  State = "leaving"
)

// Instance is a machine that was started in the cloud.
type Instance struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Datacentre  string `json:"datacentre"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	// PricePerHour is in the operator's currency.
	PricePerHour float64 `json:"price_per_hour"`
	// Service is the service whose endpoint runs on the instance; "" for an entry instance.
	Service string `json:"service,omitempty"`
	// OperationID is the operation id of the StartOrder that started the instance.
	OperationID string `json:"operation_id,omitempty"`
	// Address is the IP address and port of the endpoint or entry instance that runs on it.
	Address string `json:"address,omitempty"`
	State   State  `json:"state"`
	// StartedAtMs is in milliseconds since the Unix epoch.
	StartedAtMs int64 `json:"started_at_ms"`
}

// Notice announces that the cloud will reclaim an instance.
type Notice struct {
	Sequence   uint64 `json:"sequence"`
	InstanceID string `json:"instance_id"`
	// DeadlineMs is when the instance ends, in milliseconds since the Unix epoch.
	DeadlineMs int64 `json:"deadline_ms"`
}
