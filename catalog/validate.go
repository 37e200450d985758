package catalog

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// Validate checks every item and all references between items. It returns nil or a *ValidationError.
func (d *Document) Validate() error {
	c := &check{services: make(map[string]bool), names: make(map[string]bool)}
	for i := range d.Services {
		c.service(i, &d.Services[i])
	}
	c.unique(len(d.Services), func(i int) (ItemKind, string) { return ItemService, d.Services[i].Name })
	c.models(d.Services)
	for i := range d.Teams {
		c.team(i, &d.Teams[i])
	}
	c.unique(len(d.Teams), func(i int) (ItemKind, string) { return ItemTeam, d.Teams[i].Name })
	c.keys(d.Teams)
	for i := range d.Presets {
		c.fields(ItemPreset, itemName(d.Presets[i].Name, i), d.Presets[i])
	}
	c.unique(len(d.Presets), func(i int) (ItemKind, string) { return ItemPreset, d.Presets[i].Name })
	c.inForce(d)
	if len(c.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: c.problems}
}

// check collects the problems of one document.
type check struct {
	problems []Problem
	services map[string]bool
	names    map[string]bool
}

func (c *check) add(kind ItemKind, name, field, allowed string) {
	c.problems = append(c.problems, Problem{Kind: kind, Name: name, Field: field, Allowed: allowed})
}

func (c *check) fields(kind ItemKind, name string, item any) {
	c.problems = append(c.problems, fieldProblems(kind, name, item)...)
}

func (c *check) service(i int, s *Service) {
	name := itemName(s.Name, i)
	c.services[s.Name] = true
	c.fields(ItemService, name, *s)
	if s.Kind == KindModel && len(s.Models) == 0 {
		c.add(ItemService, name, "models", "a model service must have 1 to 32 entries")
	}
	if s.Kind == KindPlain && len(s.Models) > 0 {
		c.add(ItemService, name, "models", "must be empty for a plain service")
	}
	if s.Kind == KindModel && len(s.Idempotent) > 0 {
		c.add(ItemService, name, "idempotent", "must be empty for a model service")
	}
}

// models: a model name leads to one service.
func (c *check) models(services []Service) {
	owner := make(map[string]string)
	for i, s := range services {
		for j, model := range s.Models {
			if other, taken := owner[model]; taken {
				c.add(ItemService, itemName(s.Name, i), fmt.Sprintf("models[%d]", j),
					fmt.Sprintf("model %q must belong to one service only; it also belongs to %q", model, other))
				continue
			}
			owner[model] = s.Name
		}
	}
}

func (c *check) team(i int, t *Team) {
	name := itemName(t.Name, i)
	c.fields(ItemTeam, name, *t)
	for j, service := range t.Services {
		if !c.services[service] {
			c.add(ItemTeam, name, fmt.Sprintf("services[%d]", j), fmt.Sprintf("must name a service; there is no service %q", service))
		}
	}
}

// keys: a bearer key leads to one team, and each hash is written in one way.
func (c *check) keys(teams []Team) {
	owner := make(map[string]string)
	for i, t := range teams {
		for j, hash := range t.KeyHashes {
			field := fmt.Sprintf("key_hashes[%d]", j)
			if _, err := hex.DecodeString(hash); err != nil || hash != strings.ToLower(hash) {
				c.add(ItemTeam, itemName(t.Name, i), field, "must be 64 lower-case hexadecimal digits")
			}
			if other, taken := owner[hash]; taken {
				c.add(ItemTeam, itemName(t.Name, i), field, fmt.Sprintf("must differ from all other keys; team %q has it too", other))
			}
			owner[hash] = t.Name
		}
	}
}

func (c *check) unique(n int, item func(int) (ItemKind, string)) {
	for i := range n {
		kind, name := item(i)
		key := string(kind) + "/" + name
		if c.names[key] {
			c.add(kind, name, "name", "must be unique")
		}
		c.names[key] = true
	}
}

func (c *check) inForce(d *Document) {
	if len(d.Presets) == 0 {
		c.add(ItemInForce, d.InForce, "", "there must be at least one preset")
		return
	}
	if !c.names[string(ItemPreset)+"/"+d.InForce] {
		c.add(ItemInForce, d.InForce, "", "the preset in force must exist: a preset in force cannot be deleted or renamed")
	}
}

func itemName(name string, i int) string {
	if name == "" {
		return fmt.Sprintf("#%d", i)
	}
	return name
}
