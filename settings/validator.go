package settings

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// inlined stands in the validator's paths for an embedded struct, whose keys are
// in the file those of the struct around it.
const inlined = "inlined"

// newValidator returns a validator that names keys as the file does.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if f.Anonymous {
			return inlined
		}
		return name
	})
	v.RegisterCustomTypeFunc(func(field reflect.Value) any {
		if a, ok := field.Interface().(Address); ok && a.IsValid() {
			return a.String()
		}
		return ""
	}, Address{})
	return v
}
