package ryeford

import (
	"strings"
	"unicode/utf8"
)

// A SoftwareVersion is the version of the software that an endpoint runs, not of a model's weights.
// Versions are only compared for equality, within one service. The zero value means that the version is
// unknown; it equals no version, not even itself (see Same).
type SoftwareVersion string

const (
	// maxSoftwareVersion is the maximum length of a version, in bytes, so that it fits into messages.
	maxSoftwareVersion = 64
	// emptySoftwareVersion stands for an empty text, which an endpoint may report.
	emptySoftwareVersion SoftwareVersion = `""`
)

// NewSoftwareVersion returns the version that an endpoint reports as text. It is unknown if the text is too long,
// or if decoding it has replaced invalid bytes, since different texts would then look the same.
func NewSoftwareVersion(text string) SoftwareVersion {
	switch {
	case text == "":
		return emptySoftwareVersion
	case SoftwareVersion(text) == emptySoftwareVersion || !SoftwareVersion(text).Valid():
		return ""
	}
	return SoftwareVersion(text)
}

// Valid reports whether the version may have been returned by NewSoftwareVersion.
func (v SoftwareVersion) Valid() bool {
	return len(v) <= maxSoftwareVersion && utf8.ValidString(string(v)) && !strings.ContainsRune(string(v), utf8.RuneError)
}

// Known reports whether the version is known.
func (v SoftwareVersion) Known() bool { return v != "" }

// Same reports whether both versions are known and equal.
func (v SoftwareVersion) Same(other SoftwareVersion) bool { return v.Known() && v == other }
