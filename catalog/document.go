// Package catalog defines the configuration shared by all instances: services,
// teams and presets, in one document with an increasing revision. It validates,
// encodes and changes documents; a Snapshot is the indexed, immutable form that
// instances read. The package does no I/O; package distribution stores and sends
// documents.
package catalog

// Document is the shared configuration. It is stored as JSON in one object, so
// that one conditional update covers all references between items and keeps
// exactly one preset in force.
type Document struct {
	// Revision grows by one with each accepted change.
	Revision uint64 `json:"revision"`
	// InForce names the preset in force.
	InForce  string    `json:"in_force"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Presets  []Preset  `json:"presets"`
	// Changes are the latest accepted changes, oldest first, at most MaxChanges.
	Changes []Change `json:"changes"`
}

// MaxChanges is the largest number of entries in Document.Changes.
const MaxChanges = 64
