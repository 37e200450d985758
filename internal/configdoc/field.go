package configdoc

import (
	"go/ast"
	"reflect"
	"strings"
)

// field is one documented field of a configuration struct.
type field struct {
	// name is the key in YAML or JSON.
	name string
	// typeName is the Go type as written, for example "Duration" or "[]string".
	typeName string
	// comment is the doc comment on one line. It gives unit, default and bounds.
	comment string
	// rule is the validate tag.
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

// typeText writes the kinds of types that configuration structs use.
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
