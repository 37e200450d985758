package configdoc

import (
	"go/ast"
	"reflect"
	"strings"
)

// field describes one field of a configuration struct.
type field struct {
	// name is the field's key in YAML or JSON.
	name string
	// typeName is the Go type as written, for example "Duration" or "[]string".
	typeName string
	// comment is the doc comment joined into one line. It states the unit, the default and the bounds.
	comment string
	// rule is the value of the validate tag.
	rule string
}

func newField(node *ast.Field, tagKey string) field {
	tag := reflect.StructTag("")
	if node.Tag != nil {
		tag = reflect.StructTag(strings.Trim(node.Tag.Value, "`"))
	}
	name, _, _ := strings.Cut(tag.Get(tagKey), ",")
	return field{
		name: name, typeName: typeText(node.Type), rule: tag.Get("validate"),
		comment: strings.Join(strings.Fields(node.Doc.Text()), " "),
	}
}

// typeText formats a type as written in the source. It supports names, slices and maps, and drops the star of pointers;
// any other type gives "?".
func typeText(expr ast.Expr) string {
	switch t := expr.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.StarExpr:
		return typeText(t.X)
	case *ast.ArrayType:
		return "[]" + typeText(t.Elt)
	case *ast.MapType:
		return "map[" + typeText(t.Key) + "]" + typeText(t.Value)
	default:
		return "?"
	}
}
