package settings

import (
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// checkKeys returns an error for the first key below root that is unknown to the
// type of target or is a duplicate; nil if there is none. It does not check the
// keys of maps: any are allowed, and the YAML decoder rejects duplicates.
func checkKeys(root *yaml.Node, target any) *Error {
	return checkMapping(root, reflect.TypeOf(target), "")
}

func checkMapping(node *yaml.Node, target reflect.Type, path string) *Error {
	if node.Kind == yaml.SequenceNode && target.Kind() == reflect.Slice {
		return checkItems(node, target.Elem(), path)
	}
	if node.Kind != yaml.MappingNode || target.Kind() != reflect.Struct {
		return nil
	}
	fields := yamlFields(target)
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field := joinPath(path, key.Value)
		fieldType, ok := fields.types[key.Value]
		if !ok {
			return &Error{Line: key.Line, Field: field, Message: "unknown; allowed are " + strings.Join(fields.names, ", ")}
		}
		if seen[key.Value] {
			return &Error{Line: key.Line, Field: field, Message: "given twice; allowed is once"}
		}
		seen[key.Value] = true
		if fault := checkMapping(node.Content[i+1], fieldType, field); fault != nil {
			return fault
		}
	}
	return nil
}

func checkItems(node *yaml.Node, item reflect.Type, path string) *Error {
	for _, child := range node.Content {
		if fault := checkMapping(child, item, path); fault != nil {
			return fault
		}
	}
	return nil
}

// structFields holds the YAML names of a struct's fields, in declaration order, and their types.
type structFields struct {
	names []string
	types map[string]reflect.Type
}

// yamlFields returns the fields of a struct type.
func yamlFields(target reflect.Type) structFields {
	fields := structFields{types: make(map[string]reflect.Type)}
	for field := range target.Fields() {
		name := yamlName(field)
		fields.names = append(fields.names, name)
		fields.types[name] = field.Type
	}
	return fields
}

// yamlName returns the name in the yaml tag of a field.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}
