package cloud

// State is the state of an instance.
type State string

// States of an instance. One that has ended is no longer listed.
const (
	StateStarting State = "starting"
	StateRunning  State = "running"
	StateLeaving  State = "leaving"
)

// Instance is a started machine.
type Instance struct {
	ID           string  `json:"id"`
	Zone         string  `json:"zone"`
	Datacentre   string  `json:"datacentre"`
	Class        string  `json:"class"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"price_per_hour"`
	Service      string  `json:"service,omitempty"`
	// OperationID is that of the order that started it.
	OperationID string `json:"operation_id,omitempty"`
	// Address is the IP address and port of what runs on it.
	Address     string `json:"address,omitempty"`
	State       State  `json:"state"`
	StartedAtMs int64  `json:"started_at_ms"`
}

// Notice tells that an instance will be reclaimed.
type Notice struct {
	Sequence   uint64 `json:"sequence"`
	InstanceID string `json:"instance_id"`
	// DeadlineMs is when the instance ends, in milliseconds since the Unix epoch.
	DeadlineMs int64 `json:"deadline_ms"`
}
