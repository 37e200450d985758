package control

import (
	"knapweedhoist/catalog"
	"knapweedhoist/membership"
)

// View is the state that goroutines other than the owner of the Core read. It is immutable.
type View struct {
	Fleet *membership.View
	// Catalog is the configuration in force; nil before the first revision is applied.
	Catalog *catalog.Snapshot
}
