package template

import (
	"errors"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/ryeford/ryeford"
)

// checker may be used by several goroutines at once, and caches the types it has seen.
var checker = validator.New(validator.WithRequiredStructEnabled())

// Check checks a template that is to be published. The error is a
// *ryeford.InputError.
func Check(t *ryeford.Template) error {
	if t.Change == "" {
		return &ryeford.InputError{Field: "change", Problem: "missing; it names the publish"}
	}
	err := checker.Struct(t)
	if err == nil {
		return nil
	}
	var list validator.ValidationErrors
	if !errors.As(err, &list) || len(list) == 0 {
		return &ryeford.InputError{Field: "template", Problem: err.Error()}
	}
	first := list[0]
	return &ryeford.InputError{
		Field:   strings.ToLower(first.Field()),
		Problem: "must satisfy " + strings.TrimSpace(first.Tag()+" "+first.Param()),
	}
}
