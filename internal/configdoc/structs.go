package configdoc

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
)

// structs maps the name of each struct type of a package to the fields that have a YAML or JSON key.
type structs map[string][]field

// parseStructs parses the non-test Go files in dir. tagKey, "yaml" or "json", is the struct tag that holds the fields'
// keys. It fails if a file does not parse.
func parseStructs(dir, tagKey string) (structs, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	parsedStructs := make(structs)
	for _, file := range files {
		if matched, _ := filepath.Match("*_test.go", filepath.Base(file)); matched {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		parsedStructs.addFile(parsed, tagKey)
	}
	return parsedStructs, nil
}

// addFile adds the struct types of file to s.
func (s structs) addFile(file *ast.File, tagKey string) {
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if body, ok := spec.Type.(*ast.StructType); ok {
			s[spec.Name.Name] = fieldsOf(body, tagKey)
		}
		return false
	})
}

// fieldsOf returns the fields of a struct that have a key in their tag tagKey.
func fieldsOf(body *ast.StructType, tagKey string) []field {
	var fields []field
	for _, node := range body.Fields.List {
		if f := newField(node, tagKey); f.name != "" {
			fields = append(fields, f)
		}
	}
	return fields
}

// elementOf returns the element type of a slice or map, or typeName itself for any other type.
func elementOf(typeName string) string {
	for i := len(typeName) - 1; i >= 0; i-- {
		if typeName[i] == ']' {
			return typeName[i+1:]
		}
	}
	return typeName
}
