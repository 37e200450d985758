package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	v.RegisterCustomTypeFunc(func(value reflect.Value) any {
		return time.Duration(value.Interface().(Duration))
	}, Duration(0))
	mustRegisterTag(v, "name", func(field validator.FieldLevel) bool {
		return namePattern.MatchString(field.Field().String())
	})
	mustRegisterTag(v, "ip_port", func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	return v
}

func mustRegisterTag(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err)
	}
}

// checkValues returns an error for the first field whose value violates its validate tag; nil if there is none.
func checkValues(root *yaml.Node, settings Settings) *Error {
	err := validate.Struct(settings)
	if err == nil {
		return nil
	}
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return &Error{Message: err.Error()}
	}
	fault := faults[0]
	_, path, _ := strings.Cut(fault.Namespace(), ".")
	return &Error{Line: lineOf(root, path), Field: path, Message: validationMessage(fault)}
}

// validationMessage returns the message for a violated validate tag, with the allowed values.
func validationMessage(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "missing; it is required"
	case "name":
		return fmt.Sprintf("%q; allowed are 1 to 63 lower-case letters, digits and hyphens", fault.Value())
	case "ip_port":
		return fmt.Sprintf("%q; allowed is an IP number and a port, for example 127.0.0.1:8080", fault.Value())
	case "min":
		return fmt.Sprintf("too small; allowed is %s or more", fault.Param())
	case "max":
		return fmt.Sprintf("too large; allowed is %s or less", fault.Param())
	case "len":
		return fmt.Sprintf("wrong length; allowed are %s characters", fault.Param())
	case "oneof":
		return fmt.Sprintf("%q; allowed are %s", fault.Value(), strings.ReplaceAll(fault.Param(), " ", ", "))
	case "hexadecimal":
		return "not hexadecimal; allowed are digits 0-9 and a-f"
	default:
		return "not allowed (" + fault.Tag() + ")"
	}
}
