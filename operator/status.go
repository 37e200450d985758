package operator

import "time"

// Status is the response of /operator/v1/status.
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
	// Violations is the number of violations of each invariant, by name.
	Violations map[string]int64 `json:"violations,omitempty"`
}

// DatacentreStatus summarises one data centre as the answering instance sees it. Live, Suspect,
// Dead and Leaving are numbers of entry instances in that state.
type DatacentreStatus struct {
	Name    string `json:"name"`
	Live    int    `json:"live"`
	Suspect int    `json:"suspect"`
	Dead    int    `json:"dead"`
	Leaving int    `json:"leaving"`
	// Endpoints is the number of endpoints that accept new work; EndpointsLeaving, of those that do not.
	Endpoints        int `json:"endpoints"`
	EndpointsLeaving int `json:"endpoints_leaving"`
	// LastHeard is the time of the latest heartbeat or live mark of an instance of the data centre;
	// it does not advance while the data centre is unreachable.
	LastHeard time.Time `json:"last_heard"`
}

// InstanceStatus is the state of one entry instance as the answering instance sees it.
type InstanceStatus struct {
	ID              string    `json:"id"`
	Incarnation     string    `json:"incarnation"`
	Datacentre      string    `json:"datacentre"`
	State           string    `json:"state"`
	Revision        uint64    `json:"revision"`
	RevisionSince   time.Time `json:"revision_since"`
	LastHeard       time.Time `json:"last_heard"`
	OperatorAddress string    `json:"operator_address"`
	// Successor is the incarnation that takes over the requests of a leaving instance.
	Successor string `json:"successor,omitempty"`
}

// EndpointStatus is the state and the last load report of one endpoint.
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
	// LoadAgeMs is the age of the load report in milliseconds; -1 if there is none.
	LoadAgeMs int64 `json:"load_age_ms"`
}

// RequestStatus is the state of one request. It contains neither the prompt nor generated text.
type RequestStatus struct {
	ID string `json:"id"`
	// Home is the instance that holds the request: its first owner or a successor.
	Home    string `json:"home"`
	Team    string `json:"team"`
	Service string `json:"service"`
	State   string `json:"state"`
	Outcome string `json:"outcome,omitempty"`
	// Attempt is the number of the latest attempt, 0 before the first one.
	Attempt    int    `json:"attempt"`
	Endpoint   string `json:"endpoint,omitempty"`
	Idempotent bool   `json:"idempotent"`
	// Sent is true if the request may have been sent to an endpoint.
	Sent bool `json:"sent"`
	// Events is the number of the request's events so far.
	Events uint64 `json:"events"`
	AgeMs  int64  `json:"age_ms"`
}

// RevisionStatus is the response of /operator/v1/revision.
type RevisionStatus struct {
	// Revision is the revision in force at the answering instance.
	Revision uint64 `json:"revision"`
	// Everywhere is true if the answering instance and every live instance have at least the
	// requested revision.
	Everywhere bool `json:"everywhere"`
	// Behind lists the live instances with an older revision. Unreachable lists suspect
	// and dead instances, whose revision is not known.
	Behind      []InstanceStatus `json:"behind,omitempty"`
	Unreachable []InstanceStatus `json:"unreachable,omitempty"`
}
