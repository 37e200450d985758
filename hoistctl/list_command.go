package hoistctl

import (
	"fmt"
	"strings"

	"knapweedhoist/catalog"
)

// listCommand lists all items of a kind.
type listCommand struct {
	app  *app
	kind catalog.ItemKind
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	document, err := c.app.readDocument()
	if err != nil {
		return err
	}
	var items any
	var rows [][]string
	switch c.kind {
	case catalog.ItemPreset:
		items, rows = document.Presets, presetRows(document)
	case catalog.ItemService:
		items, rows = document.Services, serviceRows(document)
	default:
		items, rows = document.Teams, teamRows(document)
	}
	if c.app.jsonOutput() {
		return c.app.printJSON(items)
	}
	return c.app.printTable(rows)
}

func presetRows(document catalog.Document) [][]string {
	rows := [][]string{{"PRESET", "IN FORCE", "FIRST TOKEN", "INTER TOKEN", "RECLAIMABLE", "HEADROOM"}}
	for _, p := range document.Presets {
		inForce := ""
		if p.Name == document.InForce {
			inForce = "yes"
		}
		rows = append(rows, []string{
			p.Name, inForce, numberOrDefault(p.FirstTokenTargetMs, " ms"), numberOrDefault(p.InterTokenTargetMs, " ms"),
			optionalOrDefault(p.ReclaimableShare, "%"), optionalOrDefault(p.HeadroomPercent, "%"),
		})
	}
	return rows
}

func serviceRows(document catalog.Document) [][]string {
	rows := [][]string{{"SERVICE", "KIND", "MODELS", "CHECKS FENCE", "DEDUPLICATES"}}
	for _, s := range document.Services {
		rows = append(rows, []string{
			s.Name, string(s.Kind), strings.Join(s.Models, ","), yesNo(s.ChecksFence), yesNo(s.Deduplicates),
		})
	}
	return rows
}

func teamRows(document catalog.Document) [][]string {
	rows := [][]string{{"TEAM", "WEIGHT", "REQUESTS/S", "TOKENS/S", "KEYS", "SERVICES"}}
	for _, t := range document.Teams {
		rows = append(rows, []string{
			t.Name, numberOrDefault(t.Weight, ""), limitOrNone(t.RequestsPerSecond), limitOrNone(t.TokensPerSecond),
			fmt.Sprint(len(t.KeyHashes)), strings.Join(t.Services, ","),
		})
	}
	return rows
}

// numberOrDefault returns value with its unit, or "default" for 0, which means that
// the document does not set the value.
func numberOrDefault(value int, unit string) string {
	if value == 0 {
		return "default"
	}
	return fmt.Sprint(value) + unit
}

func optionalOrDefault(value *int, unit string) string {
	if value == nil {
		return "default"
	}
	return fmt.Sprint(*value) + unit
}

func limitOrNone(value float64) string {
	if value == 0 {
		return "none"
	}
	return fmt.Sprint(value)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
