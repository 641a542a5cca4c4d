// Package streamversion decides at which endpoints a stream may continue: only at those that run the software
// version that began it, since events of two versions don't fit together.
package streamversion

import "github.com/ryeford/ryeford"

// A Constraint limits which endpoints may write the next event of a stream. The zero Constraint is that of a stream
// that has not begun: any endpoint may.
type Constraint struct {
	begun    bool
	software ryeford.SoftwareVersion
}

// BegunBy returns the Constraint of a stream whose first event was written by an endpoint of a version. If that
// version is unknown, no endpoint may continue the stream.
func BegunBy(software ryeford.SoftwareVersion) Constraint {
	return Constraint{begun: true, software: software}
}

// Begun reports whether the stream has begun.
func (c Constraint) Begun() bool { return c.begun }

// Software returns the version that began the stream. It is unknown if the stream has not begun.
func (c Constraint) Software() ryeford.SoftwareVersion { return c.software }

// Allows reports whether an endpoint that runs a version may write the next event.
func (c Constraint) Allows(software ryeford.SoftwareVersion) bool {
	return !c.begun || c.software.Same(software)
}
