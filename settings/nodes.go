package settings

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// walkScalars calls visit for each scalar below node, in document order, with its field path
// (for example operators[0].name).
func walkScalars(node *yaml.Node, path string, visit func(path string, value *yaml.Node)) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			walkScalars(node.Content[i+1], joinPath(path, node.Content[i].Value), visit)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			walkScalars(item, path+"["+strconv.Itoa(i)+"]", visit)
		}
	case yaml.ScalarNode:
		visit(path, node)
	}
}

// lineOf returns the line of the field at path, or of its nearest ancestor in the file if the field is missing.
func lineOf(root *yaml.Node, path string) int {
	line := root.Line
	node := root
	for element := range strings.SplitSeq(path, ".") {
		name, index, indexed := splitIndex(element)
		child := mappingValue(node, name)
		if child == nil {
			return line
		}
		if indexed && index < len(child.Content) {
			child = child.Content[index]
		}
		line = child.Line
		node = child
	}
	return line
}

// mappingValue returns the value of a key, or nil if node is no mapping or lacks the key.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// splitIndex splits a path element such as operators[0] into name and list index.
func splitIndex(element string) (name string, index int, indexed bool) {
	name, rest, indexed := strings.Cut(element, "[")
	if !indexed {
		return name, 0, false
	}
	index, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
	return name, index, err == nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
