package catalog

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends"

// fieldRules checks the validate tags of the fields of single items. It is safe for concurrent use.
var fieldRules = newFieldRules()

func newFieldRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	matches := func(fl validator.FieldLevel) bool { return namePattern.MatchString(fl.Field().String()) }
	if err := v.RegisterValidation("name", matches); err != nil {
		panic(err) // cannot happen: it fails only for an empty tag or a nil function
	}
	return v
}

// fieldProblems returns the violations of the validate tags of one item's fields.
func fieldProblems(kind ItemKind, name string, item any) []Problem {
	var violations validator.ValidationErrors
	if !errors.As(fieldRules.Struct(item), &violations) {
		return nil
	}
	problems := make([]Problem, 0, len(violations))
	for _, violation := range violations {
		_, field, _ := strings.Cut(violation.Namespace(), ".")
		problems = append(problems, Problem{Kind: kind, Name: name, Field: field, Allowed: describeRule(violation)})
	}
	return problems
}

// describeRule returns the text of the rule that a field violates.
func describeRule(violation validator.FieldError) string {
	unit := ""
	switch violation.Kind() {
	case reflect.Slice:
		unit = " entries"
	case reflect.String:
		unit = " characters"
	}
	switch violation.Tag() {
	case "required":
		return "must be set"
	case "name":
		return "must be " + nameRule
	case "oneof":
		return "must be one of " + strings.Join(strings.Fields(violation.Param()), ", ")
	case "min":
		return fmt.Sprintf("must be at least %s%s", violation.Param(), unit)
	case "max":
		return fmt.Sprintf("must be at most %s%s", violation.Param(), unit)
	case "len", "hexadecimal":
		return "must be 64 hexadecimal digits"
	case "startswith":
		return "must start with " + violation.Param()
	default:
		return "must satisfy " + violation.Tag()
	}
}
