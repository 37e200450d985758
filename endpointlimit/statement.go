package endpointlimit

// Kind tells what an answer says about the rate limit of its endpoint.
type Kind uint8

// Kinds of statements.
const (
	// Absent means that the answer names no limit, so that the endpoint has none.
	Absent Kind = iota
	// Named means that the answer names a limit.
	Named
	// Invalid means that the answer names a limit which cannot be read. The last valid statement stays in force.
	Invalid
)

// Statement is what one answer says about the rate limit of its endpoint.
type Statement struct {
	Kind Kind
	// PerSecond is the limit in requests a second if Kind is Named. It is finite and not negative.
	PerSecond float32
}
