package operator

import "time"

// Status is the answer of /operator/v1/status.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Datacentre  string `json:"datacentre"`
	// Preset and Revision are in force at this instance since RevisionSince.
	Preset        string             `json:"preset"`
	Revision      uint64             `json:"revision"`
	RevisionSince time.Time          `json:"revision_since"`
	Datacentres   []DatacentreStatus `json:"datacentres"`
	Instances     []InstanceStatus   `json:"instances"`
	// Violations counts violated invariants by name.
	Violations map[string]int64 `json:"violations,omitempty"`
}

// DatacentreStatus sums up one data centre, as this instance sees it.
type DatacentreStatus struct {
	Name    string `json:"name"`
	Live    int    `json:"live"`
	Suspect int    `json:"suspect"`
	Dead    int    `json:"dead"`
	Leaving int    `json:"leaving"`
	// Endpoints takes new work, EndpointsLeaving does not.
	Endpoints        int `json:"endpoints"`
	EndpointsLeaving int `json:"endpoints_leaving"`
	// LastHeard is the newest sign of life; a data centre that is cut off has an old one.
	LastHeard time.Time `json:"last_heard"`
}

// InstanceStatus is one entry instance, as the answering instance sees it.
type InstanceStatus struct {
	ID              string    `json:"id"`
	Incarnation     string    `json:"incarnation"`
	Datacentre      string    `json:"datacentre"`
	State           string    `json:"state"`
	Revision        uint64    `json:"revision"`
	RevisionSince   time.Time `json:"revision_since"`
	LastHeard       time.Time `json:"last_heard"`
	OperatorAddress string    `json:"operator_address"`
	Successor       string    `json:"successor,omitempty"`
}

// EndpointStatus is one endpoint.
type EndpointStatus struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Datacentre    string `json:"datacentre"`
	Zone          string `json:"zone"`
	Class         string `json:"class"`
	Address       string `json:"address"`
	Reclaimable   bool   `json:"reclaimable"`
	State         string `json:"state"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	PrefillTokens int    `json:"prefill_tokens"`
	DecodeTokens  int    `json:"decode_tokens"`
	// LoadAgeMs is the age of the load report; -1 when there is none.
	LoadAgeMs int64 `json:"load_age_ms"`
}

// RequestStatus is one request. It holds no prompt and no generated text.
type RequestStatus struct {
	ID         string `json:"id"`
	Home       string `json:"home"`
	Team       string `json:"team"`
	Service    string `json:"service"`
	State      string `json:"state"`
	Outcome    string `json:"outcome,omitempty"`
	Attempt    int    `json:"attempt"`
	Endpoint   string `json:"endpoint,omitempty"`
	Idempotent bool   `json:"idempotent"`
	Sent       bool   `json:"sent"`
	Events     uint64 `json:"events"`
	AgeMs      int64  `json:"age_ms"`
}

// RevisionStatus is the answer of /operator/v1/revision.
type RevisionStatus struct {
	Revision uint64 `json:"revision"`
	// Everywhere: every live instance has at least the revision asked for.
	Everywhere bool `json:"everywhere"`
	// Behind are the live instances that have an older revision; Unreachable
	// are suspect and dead ones, which cannot be asked.
	Behind      []InstanceStatus `json:"behind,omitempty"`
	Unreachable []InstanceStatus `json:"unreachable,omitempty"`
}
