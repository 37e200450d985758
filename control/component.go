package control

// Component identifies the part of a Core that made a platform call, so that the result is passed back to it.
type Component struct {
	Kind ComponentKind
	// Shard is set for ComponentClaim, Duty for ComponentLease.
	Shard int
	Duty  string
}

// ComponentKind is the kind of a Component.
type ComponentKind uint8

// Kinds of components.
const (
	// ComponentClaim is a claim shard.
	ComponentClaim ComponentKind = iota + 1
	// ComponentLease is the lease of a duty.
	ComponentLease
	// ComponentFollower is the follower of the configuration document.
	ComponentFollower
	// ComponentEdit is the editor of the configuration document.
	ComponentEdit
)
