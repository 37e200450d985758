// Package configdoc writes docs/configuration.md from the doc comments and the
// validate tags of the configuration structs.
package configdoc

import (
	"fmt"
	"path/filepath"
	"strings"
)

//go:generate go run ./write

// Page returns the page for the module in root.
func Page(root string) (string, error) {
	settings, err := parseStructs(filepath.Join(root, "settings"), "yaml")
	if err != nil {
		return "", err
	}
	entry, err := parseStructs(filepath.Join(root, "entry"), "yaml")
	if err != nil {
		return "", err
	}
	catalog, err := parseStructs(filepath.Join(root, "catalog"), "json")
	if err != nil {
		return "", err
	}
	var page strings.Builder
	page.WriteString(introduction)
	page.WriteString("\n## Settings of a process\n\n" + settingsText + "\n")
	writeTable(&page, settings, "Settings", "")
	page.WriteString("\n### Example\n\n" + exampleText + "\n```yaml\n" + Example + "```\n")
	page.WriteString("\n## Settings of an entry instance on a platform\n\n" + entryText + "\n")
	writeTable(&page, entry, "Settings", "")
	page.WriteString("\n## Shared configuration\n\n" + catalogText)
	for _, item := range []string{"Service", "Team", "Preset"} {
		fmt.Fprintf(&page, "\n### %s\n\n", item)
		writeTable(&page, catalog, item, "")
	}
	page.WriteString("\n" + commandsText)
	return page.String(), nil
}

// writeTable writes one row per field, with the fields of nested structs below their own.
func writeTable(page *strings.Builder, all structs, typeName, prefix string) {
	if prefix == "" {
		page.WriteString("| field | type | meaning, unit, default and bounds | check |\n|---|---|---|---|\n")
	}
	for _, f := range all[typeName] {
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n", prefix+f.name, typeLabel(all, f.typeName), f.comment, ruleText(f.rule))
		element := elementOf(f.typeName)
		if all[element] == nil {
			continue
		}
		nested := prefix + f.name + "."
		if element != f.typeName {
			nested = prefix + f.name + "[]."
		}
		writeTable(page, all, element, nested)
	}
}

// typeLabel names a type as it is written in a file.
func typeLabel(all structs, typeName string) string {
	element := elementOf(typeName)
	label, known := map[string]string{
		"string": "text", "ServiceKind": "text", "Secret": "text", "int": "integer", "float64": "number",
		"bool": "true or false", "Duration": "duration",
	}[element]
	if !known {
		label = element
	}
	if all[element] != nil {
		label = "object"
	}
	switch {
	case strings.HasPrefix(typeName, "[]"):
		return "list of " + label
	case strings.HasPrefix(typeName, "map["):
		return "map from name to " + label
	default:
		return label
	}
}
