// Package catalog defines the configuration that operators share: services,
// teams and presets, in one document with a monotonic revision.
package catalog

// Document is the shared configuration. It is stored as JSON in one object,
// so that one conditional update validates all cross-references and exactly
// one preset is in force.
type Document struct {
	// Revision grows by one with each accepted change.
	Revision uint64 `json:"revision"`
	// InForce names the preset in force.
	InForce  string    `json:"in_force"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Presets  []Preset  `json:"presets"`
	// Changes are the last accepted changes, oldest first, at most MaxChanges.
	Changes []Change `json:"changes"`
}

// MaxChanges bounds Document.Changes.
const MaxChanges = 64
