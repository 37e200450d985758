package configdoc

import "strings"

// ruleText describes the checks of a validate tag in words.
func ruleText(rule string) string {
	var texts []string
	prefix := ""
	for part := range strings.SplitSeq(rule, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "dive":
			prefix = "each: "
			continue
		case "omitempty":
			texts = append(texts, prefix+"may be left out")
			continue
		}
		texts = append(texts, prefix+checkText(name, value))
	}
	return strings.Join(texts, "; ")
}

func checkText(name, value string) string {
	switch name {
	case "":
		return "none"
	case "name":
		return "a name"
	case "ip_port":
		return "IP number and port"
	case "required":
		return "required"
	case "hostname_port":
		return "host and port"
	case "gt":
		return "more than " + value
	case "min", "gte":
		return "at least " + value
	case "max":
		return "at most " + value
	case "len":
		return value + " characters"
	case "oneof":
		return "one of " + strings.Join(strings.Fields(value), ", ")
	case "startswith":
		return "starts with " + value
	default:
		return name
	}
}
