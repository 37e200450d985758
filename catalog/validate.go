package catalog

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// Validate checks all items and the references between them. It returns nil or a *ValidationError with all problems.
func (d *Document) Validate() error {
	c := &validation{serviceNames: make(map[string]bool), itemKeys: make(map[string]bool)}
	for i := range d.Services {
		c.checkService(i, &d.Services[i])
	}
	c.checkUnique(len(d.Services), func(i int) (ItemKind, string) { return ItemService, d.Services[i].Name })
	c.checkModels(d.Services)
	for i := range d.Teams {
		c.checkTeam(i, &d.Teams[i])
	}
	c.checkUnique(len(d.Teams), func(i int) (ItemKind, string) { return ItemTeam, d.Teams[i].Name })
	c.checkKeyHashes(d.Teams)
	for i := range d.Presets {
		c.checkFields(ItemPreset, itemName(d.Presets[i].Name, i), d.Presets[i])
	}
	c.checkUnique(len(d.Presets), func(i int) (ItemKind, string) { return ItemPreset, d.Presets[i].Name })
	c.checkInForce(d)
	if len(c.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: c.problems}
}

// validation collects the problems of one document. serviceNames are the names of its services; itemKeys are "kind/name"
// of the items that were checked for unique names.
type validation struct {
	problems     []Problem
	serviceNames map[string]bool
	itemKeys     map[string]bool
}

func (c *validation) addProblem(kind ItemKind, name, field, allowed string) {
	c.problems = append(c.problems, Problem{Kind: kind, Name: name, Field: field, Allowed: allowed})
}

func (c *validation) checkFields(kind ItemKind, name string, item any) {
	c.problems = append(c.problems, fieldProblems(kind, name, item)...)
}

func (c *validation) checkService(i int, s *Service) {
	name := itemName(s.Name, i)
	c.serviceNames[s.Name] = true
	c.checkFields(ItemService, name, *s)
	if s.Kind == KindModel && len(s.Models) == 0 {
		c.addProblem(ItemService, name, "models", "a model service must have 1 to 32 entries")
	}
	if s.Kind == KindPlain && len(s.Models) > 0 {
		c.addProblem(ItemService, name, "models", "must be empty for a plain service")
	}
	if s.Kind == KindModel && len(s.Idempotent) > 0 {
		c.addProblem(ItemService, name, "idempotent", "must be empty for a model service")
	}
}

// checkModels checks that each model name occurs only once in the models of all services.
func (c *validation) checkModels(services []Service) {
	owner := make(map[string]string)
	for i, s := range services {
		for j, model := range s.Models {
			if other, taken := owner[model]; taken {
				c.addProblem(ItemService, itemName(s.Name, i), fmt.Sprintf("models[%d]", j),
					fmt.Sprintf("model %q must belong to one service only; it also belongs to %q", model, other))
				continue
			}
			owner[model] = s.Name
		}
	}
}

func (c *validation) checkTeam(i int, t *Team) {
	name := itemName(t.Name, i)
	c.checkFields(ItemTeam, name, *t)
	for j, service := range t.Services {
		if !c.serviceNames[service] {
			c.addProblem(ItemTeam, name, fmt.Sprintf("services[%d]", j), fmt.Sprintf("must name a service; there is no service %q", service))
		}
	}
}

// checkKeyHashes checks that each key hash occurs only once in all teams and is written in lower case: it compares the
// hashes as texts, so each must have one spelling.
func (c *validation) checkKeyHashes(teams []Team) {
	owner := make(map[string]string)
	for i, t := range teams {
		for j, hash := range t.KeyHashes {
			field := fmt.Sprintf("key_hashes[%d]", j)
			if _, err := hex.DecodeString(hash); err != nil || hash != strings.ToLower(hash) {
				c.addProblem(ItemTeam, itemName(t.Name, i), field, "must be 64 lower-case hexadecimal digits")
			}
			if other, taken := owner[hash]; taken {
				c.addProblem(ItemTeam, itemName(t.Name, i), field, fmt.Sprintf("must differ from all other keys; team %q has it too", other))
			}
			owner[hash] = t.Name
		}
	}
}

func (c *validation) checkUnique(n int, item func(int) (ItemKind, string)) {
	for i := range n {
		kind, name := item(i)
		key := string(kind) + "/" + name
		if c.itemKeys[key] {
			c.addProblem(kind, name, "name", "must be unique")
		}
		c.itemKeys[key] = true
	}
}

func (c *validation) checkInForce(d *Document) {
	if len(d.Presets) == 0 {
		c.addProblem(ItemInForce, d.InForce, "", "there must be at least one preset")
		return
	}
	if !c.itemKeys[string(ItemPreset)+"/"+d.InForce] {
		c.addProblem(ItemInForce, d.InForce, "", "the preset in force must exist: a preset in force cannot be deleted or renamed")
	}
}

// itemName returns the name of an item, or "#" and its index when it has none.
func itemName(name string, i int) string {
	if name == "" {
		return fmt.Sprintf("#%d", i)
	}
	return name
}
