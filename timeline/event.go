// Package timeline records the structured events of one process, merges the
// events of many processes into one causal order, and renders them as an HTML
// page or a text table. Events are ordered by the stamps of a hybrid logical
// clock.
package timeline

// Kind classifies an event.
type Kind string

// Kinds of events.
const (
	KindAccept       Kind = "accept"
	KindShed         Kind = "shed"
	KindClaim        Kind = "claim"
	KindChoose       Kind = "choose"
	KindAttempt      Kind = "attempt"
	KindFirstToken   Kind = "first_token"
	KindResume       Kind = "resume"
	KindFinish       Kind = "finish"
	KindHandover     Kind = "handover"
	KindLease        Kind = "lease"
	KindOrder        Kind = "order"
	KindPreset       Kind = "preset"
	KindRevision     Kind = "revision"
	KindMember       Kind = "member"
	KindEndpoint     Kind = "endpoint"
	KindInvariant    Kind = "invariant"
	KindSilence      Kind = "silence"
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
	Peer       string `json:"peer,omitempty"`
	Preset     string `json:"preset,omitempty"`
	Revision   uint64 `json:"revision,omitempty"`
	Step       string `json:"step,omitempty"`
	// Detail is a short text for display. It must not contain prompts or credentials.
	Detail string `json:"detail,omitempty"`
}
