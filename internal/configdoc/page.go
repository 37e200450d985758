// Package configdoc generates docs/configuration.md from the doc comments and
// the validate tags of the configuration structs. Its tests fail if the stored
// page differs from the generated one, or if the default stated for a limit,
// shutdown or log setting, or for a number of the shared configuration, differs
// from the code.
package configdoc

import (
	"fmt"
	"path/filepath"
	"strings"
)

//go:generate go run ./write

// Page returns the Markdown text of the page. root is the root directory of the module. Page fails if a source file does
// not parse.
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
	page.WriteString("\n" + historyText)
	return page.String(), nil
}

// writeTable writes one row per field of typeName; the fields of a nested struct follow the row of the field that holds
// it. The table header is written if prefix is empty.
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

// typeLabel returns the name of a type for readers of the page, who know YAML and JSON but not Go.
func typeLabel(all structs, typeName string) string {
	element := elementOf(typeName)
	label, ok := map[string]string{
		"string": "text", "ServiceKind": "text", "Secret": "text", "int": "integer", "float64": "number",
		"bool": "true or false", "Duration": "duration",
	}[element]
	if !ok {
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
