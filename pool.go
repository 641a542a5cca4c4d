package ryeford

import "strings"

// A Pool is what an engine must have loaded to serve a request: a model, with an
// adapter and a version if those are set. Pools that differ in a part are different.
type Pool struct {
	Model   string `cbor:"1,keyasint,omitempty" json:"model" yaml:"model"`
	Adapter string `cbor:"2,keyasint,omitempty" json:"adapter,omitempty" yaml:"adapter"`
	Version string `cbor:"3,keyasint,omitempty" json:"version,omitempty" yaml:"version"`
}

// String returns the pool as model[+adapter][@version].
func (p Pool) String() string {
	var b strings.Builder
	b.WriteString(p.Model)
	if p.Adapter != "" {
		b.WriteString("+" + p.Adapter)
	}
	if p.Version != "" {
		b.WriteString("@" + p.Version)
	}
	return b.String()
}
