package settings

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// walkScalars calls visit for each scalar below node with the path of its field.
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

// lineOf returns the line of the field at path, or of its nearest parent that is present.
func lineOf(root *yaml.Node, path string) int {
	line := root.Line
	node := root
	for step := range strings.SplitSeq(path, ".") {
		name, index, indexed := splitIndex(step)
		child := childOf(node, name)
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

func childOf(node *yaml.Node, name string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}

func splitIndex(step string) (name string, index int, indexed bool) {
	name, rest, indexed := strings.Cut(step, "[")
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
