package settings

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// An Error reports a settings file that can't be read or is invalid.
type Error struct {
	File string
	Err  error
}

func (e *Error) Error() string { return e.File + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// A FieldError reports an invalid or missing key and what is allowed. It never
// contains the value, which may be secret.
type FieldError struct {
	Line    int // zero if the key is missing
	Key     string
	Problem string
}

func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Key, e.Problem)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Problem)
}

// embeddedNames removes the names of embedded structs from the texts of the decoder and
// the validator: in the file, their keys belong to the enclosing struct.
var embeddedNames = strings.NewReplacer(".Identity.", ".", ".Membership.", ".")

// decodeError converts an error of the YAML decoder to a FieldError.
func decodeError(err error) error {
	if field, ok := errors.AsType[*FieldError](err); ok {
		return field
	}
	yamlErr, ok := errors.AsType[yaml.Error](err)
	if !ok || yamlErr.GetToken() == nil {
		return &FieldError{Key: "file", Problem: err.Error()}
	}
	tok := yamlErr.GetToken()
	key := tok.Value
	problem := embeddedNames.Replace(yamlErr.GetMessage())
	if tok.Prev != nil && tok.Prev.Prev != nil && tok.Prev.Value == ":" {
		key = tok.Prev.Prev.Value
	}
	if strings.Contains(problem, "time.Duration") {
		problem = "want a duration with its unit, such as 250ms or 2s"
	}
	return &FieldError{Line: tok.Position.Line, Key: key, Problem: problem}
}

// validationError returns a FieldError for the first value that the validator
// rejected.
func validationError(err error, content []byte) error {
	list, ok := errors.AsType[validator.ValidationErrors](err)
	if !ok || len(list) == 0 {
		return &FieldError{Key: "file", Problem: err.Error()}
	}
	first := list[0]
	_, key, _ := strings.Cut(embeddedNames.Replace(first.Namespace()), ".")
	return &FieldError{
		Line:    lineOf(content, key),
		Key:     key,
		Problem: ruleText(first),
	}
}

// ruleText returns the description of a failed validation rule.
func ruleText(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "missing; it must be given"
	case "min":
		return "must be at least " + e.Param()
	case "max", "lte":
		return "must be at most " + e.Param()
	case "gt":
		return "must be above " + e.Param()
	case "oneof":
		return "must be one of: " + e.Param()
	case "ltfield":
		return "must be less than " + e.Param()
	case "excludesall":
		return "must not contain any of " + strings.ReplaceAll(e.Param(), " ", " or spaces")
	}
	return "must satisfy " + strings.TrimSpace(e.Tag()+" "+e.Param())
}

// lineOf returns the line of a key such as limits.floor, or zero if it is missing.
func lineOf(content []byte, key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.ReadNode(bytes.NewReader(content))
	if err != nil || node.Type() == ast.NullType {
		return 0
	}
	return node.GetToken().Position.Line
}

// newValidator returns a validator whose errors use the YAML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return v
}
