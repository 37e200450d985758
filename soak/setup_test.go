package soak

import (
	"encoding/json"
	"fmt"
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/distribution"
)

// setUp stores the services and presets of the deployment through edits.
func (o *operators) setUp() {
	items := []struct {
		kind catalog.ItemKind
		name string
		item any
	}{
		{catalog.ItemService, modelService, catalog.Service{Name: modelService, Kind: catalog.KindModel, Models: []string{"m"}}},
		{catalog.ItemService, plainService, catalog.Service{Name: plainService, Kind: catalog.KindPlain}},
	}
	for i := range 3 {
		name := fmt.Sprintf("preset-%d", i)
		items = append(items, struct {
			kind catalog.ItemKind
			name string
			item any
		}{catalog.ItemPreset, name, catalog.Preset{Name: name}})
	}
	for _, item := range items {
		encoded, _ := json.Marshal(item.item)
		o.submit(o.w.instances[0], distribution.Edit{
			OperationID: "setup-" + item.name, Operator: "ana", Kind: item.kind, Name: item.name, Item: encoded,
		})
		o.w.elapse(500 * time.Millisecond)
	}
}
