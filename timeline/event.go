// Package timeline records the structured events of one process, merges the
// events of many processes into one causal order, and renders them as an HTML
// page or a text table. Events are ordered by the stamps of a hybrid logical
// clock.
package timeline

// Kind classifies an event.
type Kind string

// Kinds of events.
const (
	// KindAccept means that a request was admitted and registered.
	KindAccept Kind = "accept"
	// KindRejected means that admission rejected a request. Step names the check.
	KindRejected Kind = "shed"
	// KindClaim means that a request obtained the claim of its Idempotency-Key, or the ownership of a claim shard changed.
	KindClaim Kind = "claim"
	// KindChoose means that the routing policy chose the endpoint of an attempt.
	KindChoose Kind = "choose"
	// KindAttempt means that an attempt started or failed; see Step.
	KindAttempt Kind = "attempt"
	// KindFirstToken means that an attempt delivered its first token.
	KindFirstToken Kind = "first_token"
	// KindResume means that model work moves away from a leaving endpoint, which Endpoint names.
	KindResume Kind = "resume"
	// KindFinish means that a request finished. Detail holds its outcome.
	KindFinish Kind = "finish"
	// KindHandover means that this instance announced its successor, or a peer released a request to it; see Step.
	KindHandover Kind = "handover"
	// KindLease means that this instance acquired, lost or released the lease of a duty; see Step.
	KindLease Kind = "lease"
	// KindOrder means that an order of the capacity plan to an endpoint was executed or failed; see Step and Detail.
	KindOrder Kind = "order"
	// KindPreset means that a preset came into force: the first one, or another than before.
	KindPreset Kind = "preset"
	// KindRevision means that a configuration revision was accepted or applied; see Step.
	KindRevision Kind = "revision"
	// KindMember means that an entry instance became a member or changed its state; see Step.
	KindMember Kind = "member"
	// KindEndpoint means that an endpoint is new, has a new incarnation, or is now live or leaving; see Step.
	KindEndpoint Kind = "endpoint"
	// KindInvariant means that an invariant was violated. Detail starts with its name.
	KindInvariant Kind = "invariant"
	// KindPeerTimeout means that a peer session received no frame within its timeout and was closed.
	KindPeerTimeout Kind = "silence"
	// KindPlatformDown means that calls to the platform began to fail as unavailable, or work again; see Step.
	KindPlatformDown Kind = "platform_down"
)

// Event is one entry of the timeline. A zero field does not apply to the event.
type Event struct {
	Stamp      Stamp  `json:"stamp"`
	Kind       Kind   `json:"kind"`
	Instance   string `json:"instance,omitempty"`
	Datacentre string `json:"datacentre,omitempty"`
	Request    string `json:"request,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`
	Team       string `json:"team,omitempty"`
	Endpoint   string `json:"endpoint,omitempty"`
	// Peer is the id or the address of the other instance.
	Peer     string `json:"peer,omitempty"`
	Preset   string `json:"preset,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Step is the operation within the kind, such as "handover/release".
	Step string `json:"step,omitempty"`
	// Detail is a short text for display. It must not contain prompts or credentials.
	Detail string `json:"detail,omitempty"`
}
