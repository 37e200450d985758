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

const nameAllowed = "1 to 63 lower-case letters, digits and hyphens, with a letter or digit at both ends"

// rules checks the fields of single items. It is safe for concurrent use.
var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	matches := func(fl validator.FieldLevel) bool { return namePattern.MatchString(fl.Field().String()) }
	if err := v.RegisterValidation("name", matches); err != nil {
		panic(err) // only for an empty tag or a nil function
	}
	return v
}

// fieldProblems returns the faults of one item's own fields.
func fieldProblems(kind ItemKind, name string, item any) []Problem {
	var faults validator.ValidationErrors
	if !errors.As(rules.Struct(item), &faults) {
		return nil
	}
	problems := make([]Problem, 0, len(faults))
	for _, fault := range faults {
		_, field, _ := strings.Cut(fault.Namespace(), ".")
		problems = append(problems, Problem{Kind: kind, Name: name, Field: field, Allowed: allowed(fault)})
	}
	return problems
}

// allowed tells in words what the rule of a field allows.
func allowed(fault validator.FieldError) string {
	unit := ""
	switch fault.Kind() {
	case reflect.Slice:
		unit = " entries"
	case reflect.String:
		unit = " characters"
	}
	switch fault.Tag() {
	case "required":
		return "must be set"
	case "name":
		return "must be " + nameAllowed
	case "oneof":
		return "must be one of " + strings.Join(strings.Fields(fault.Param()), ", ")
	case "min":
		return fmt.Sprintf("must be at least %s%s", fault.Param(), unit)
	case "max":
		return fmt.Sprintf("must be at most %s%s", fault.Param(), unit)
	case "len", "hexadecimal":
		return "must be 64 hexadecimal digits"
	case "startswith":
		return "must start with " + fault.Param()
	default:
		return "must satisfy " + fault.Tag()
	}
}
