package catalog

import "slices"

// ServiceKind is the protocol by which a service is called.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a group of endpoints that serve the same calls.
type Service struct {
	// Name is the service's unique name: 1 to 63 lower-case letters, digits and hyphens.
	Name string `json:"name" validate:"required,name"`
	// Kind is "model" (completions) or "plain" (any HTTP call).
	Kind ServiceKind `json:"kind" validate:"required,oneof=model plain"`
	// Models are the model names that callers may ask for, each of at most 128 characters; model services only, 1 to 32.
	Models []string `json:"models,omitempty" validate:"max=32,dive,required,max=128"`
	// Idempotent are calls that may be repeated, in addition to the safe methods; plain services only, at most 64. Default: none.
	Idempotent []CallRule `json:"idempotent,omitempty" validate:"max=64,dive"`
	// Deduplicates states that the endpoints de-duplicate calls by Idempotency-Key, so calls need no claim. Default false.
	Deduplicates bool `json:"deduplicates,omitempty"`
	// ChecksFence states that the endpoints refuse orders with an outdated fencing token. Default false.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// RetentionHours is how long an Idempotency-Key stays claimed after the deadline of its request, or after the end of the request if that is later, in hours. Default 24, 1 to 168.
	RetentionHours int `json:"retention_hours,omitempty" validate:"omitempty,min=1,max=168"`
	// Classes are the machine classes that the endpoints may run on, each of at most 64 characters; at most 32. Default: any.
	Classes []string `json:"classes,omitempty" validate:"max=32,dive,required,max=64"`
	// MaxBodyBytes is the largest request body in bytes; the limit in the instance's settings (limits.max_body_bytes) applies too. Default 1048576, 1024 to 16777216.
	MaxBodyBytes int `json:"max_body_bytes,omitempty" validate:"omitempty,min=1024,max=16777216"`
}

// RunsOn reports whether the service's endpoints may run on a machine class.
func (s *Service) RunsOn(class string) bool {
	return len(s.Classes) == 0 || slices.Contains(s.Classes, class)
}

// CallRule matches calls by method and path prefix.
type CallRule struct {
	// Method is the HTTP method: "POST", "PUT", "PATCH" or "DELETE".
	Method string `json:"method" validate:"required,oneof=POST PUT PATCH DELETE"`
	// PathPrefix matches whole segments of the path below the service: "/a" matches "/a" and "/a/b", not "/ab". A path with escapes, empty segments or segments that begin with a dot matches no rule.
	PathPrefix string `json:"path_prefix" validate:"required,startswith=/"`
}
