// Package settings reads the YAML settings files of the processes.
//
// It defines the names, units, defaults and bounds of all settings, and how a gateway
// derives some settings from others (derived.go); docs/settings.md is generated from
// its types. Reading is strict: an unknown key, a duration without its unit, a value
// out of bounds or a missing address is an error that names the file, the line and
// what is allowed. Errors never contain the value, which may be secret.
//
// It depends on the root package's types only.
package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/goccy/go-yaml"
)

// Load reads a file into defaults and returns them. Its error is an *Error.
func Load[S any](file string, defaults *S) (*S, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	if err := Parse(content, defaults); err != nil {
		return nil, &Error{File: file, Err: err}
	}
	if resolver, ok := any(defaults).(interface{ resolveTLS(file string) }); ok {
		resolver.resolveTLS(file)
	}
	return defaults, nil
}

// Parse decodes YAML strictly into a settings struct. Fields that the YAML doesn't
// name keep their values. Its errors are of type *FieldError.
func Parse(content []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return decodeError(err)
	}
	if err := newValidator().Struct(into); err != nil {
		return validationError(err, content)
	}
	return nil
}
