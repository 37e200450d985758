package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// placeholder matches a value or a section of a settings template, as DEPLOY.md describes them.
var placeholder = regexp.MustCompile(`\{\{([#^/]?)([^}|]*)(\|json)?\}\}`)

// render fills in a settings template from fields, which hold what JSON decodes to. It knows the forms that the deploy
// folder uses: values, values as JSON, and sections of lists and truths.
func render(template string, fields any) string {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(template)
		if at == nil {
			return out.String() + template
		}
		out.WriteString(template[:at[0]])
		mark, path, asJSON := template[at[2]:at[3]], template[at[4]:at[5]], at[6] >= 0
		rest := template[at[1]:]
		switch mark {
		case "#", "^":
			closing := "{{/" + path + "}}"
			body, after, _ := strings.Cut(rest, closing)
			out.WriteString(renderSection(body, fields, lookUp(fields, path), mark == "^"))
			template = after
		default:
			out.WriteString(text(lookUp(fields, path), asJSON))
			template = rest
		}
	}
}

func renderSection(body string, fields, value any, inverted bool) string {
	empty := value == nil || value == false
	if inverted {
		if empty {
			return render(body, fields)
		}
		return ""
	}
	list, isList := value.([]any)
	if !isList {
		if empty {
			return ""
		}
		return render(body, fields)
	}
	var out strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(render(strings.ReplaceAll(body, "{{,}}", comma), entry))
	}
	return out.String()
}

func lookUp(fields any, path string) any {
	if path == "." {
		return fields
	}
	for name := range strings.SplitSeq(path, ".") {
		switch container := fields.(type) {
		case map[string]any:
			fields = container[name]
		case []any:
			n, err := strconv.Atoi(name)
			if err != nil || n < 0 || n >= len(container) {
				return nil
			}
			fields = container[n]
		default:
			return nil
		}
	}
	return fields
}

func text(value any, asJSON bool) string {
	if asJSON {
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i, part := range v {
			parts[i] = text(part, false)
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}
