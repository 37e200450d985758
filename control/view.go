package control

import (
	"knapweedhoist/catalog"
	"knapweedhoist/membership"
)

// View is what traffic goroutines read. It is never modified.
type View struct {
	Fleet *membership.View
	// Catalog is the configuration in force; nil before the first revision.
	Catalog *catalog.Snapshot
}
