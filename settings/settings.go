// Package settings reads the settings files of the processes, in YAML.
//
// It owns the names, units, defaults and bounds of all settings, and the rules by
// which a gateway derives some from others (derived.go); docs/settings.md is made
// from its types. Reading is strict: an unknown key, a duration without its unit, a
// value out of bounds or a missing address is an error that names the file, the
// line and what is allowed, and never shows a value, which may be secret.
//
// It relies on the root package's types only.
package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/goccy/go-yaml"
)

// Load reads a file into defaults and returns them. The error is an *Error.
func Load[S any](file string, defaults *S) (*S, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	if err := Parse(content, defaults); err != nil {
		return nil, &Error{File: file, Err: err}
	}
	if member, ok := any(defaults).(interface{ resolveTLS(file string) }); ok {
		member.resolveTLS(file)
	}
	return defaults, nil
}

// Parse reads YAML strictly into a settings value, whose fields that the YAML
// doesn't name stay. Its errors are of type *FieldError.
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
