package control

// Component names the part of the Core that made a platform call.
type Component struct {
	Kind ComponentKind
	// Shard applies to ComponentClaim, Duty to ComponentLease.
	Shard int
	Duty  string
}

// ComponentKind is a kind of Component.
type ComponentKind uint8

// Kinds of components.
const (
	ComponentClaim ComponentKind = iota + 1
	ComponentLease
	ComponentFollower
	ComponentEdit
)
