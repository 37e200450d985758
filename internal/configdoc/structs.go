package configdoc

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
)

// structs are the fields of the structs of a package, by type name.
type structs map[string][]field

// parseStructs reads the non-test files in dir; tagKey is "yaml" or "json".
func parseStructs(dir, tagKey string) (structs, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	found := make(structs)
	for _, file := range files {
		if matched, _ := filepath.Match("*_test.go", filepath.Base(file)); matched {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		found.collect(parsed, tagKey)
	}
	return found, nil
}

func (s structs) collect(file *ast.File, tagKey string) {
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

// fieldsOf returns the fields that have a key.
func fieldsOf(body *ast.StructType, tagKey string) []field {
	var fields []field
	for _, node := range body.Fields.List {
		if f := newField(node, tagKey); f.name != "" {
			fields = append(fields, f)
		}
	}
	return fields
}

// elementOf returns the type of the values of a slice or map, or the type itself.
func elementOf(typeName string) string {
	for i := len(typeName) - 1; i >= 0; i-- {
		if typeName[i] == ']' {
			return typeName[i+1:]
		}
	}
	return typeName
}
