package ryeford

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// A Template is what an operator publishes for a client account: the model that serves it, its
// priority and share, and the start of its event.
type Template struct {
	Account  AccountID `cbor:"1,keyasint" json:"account" yaml:"account" validate:"required,max=64,excludesall=/ "`
	Name     string    `cbor:"2,keyasint" json:"name" yaml:"name" validate:"required,max=64,excludesall=/ "`
	Model    string    `cbor:"3,keyasint" json:"model" yaml:"model" validate:"required,max=64"`
	Adapter  string    `cbor:"4,keyasint,omitempty" json:"adapter,omitempty" yaml:"adapter" validate:"max=64"`
	ModelTag string    `cbor:"5,keyasint,omitempty" json:"version,omitempty" yaml:"version" validate:"max=64"`
	// Priority applies to requests that set none.
	Priority Priority `cbor:"6,keyasint" json:"priority" yaml:"priority" validate:"min=0,max=9"`
	// Share is the fraction of the fleet that the account is entitled to during an overload.
	Share float64 `cbor:"7,keyasint" json:"share" yaml:"share" validate:"gt=0,lte=1"`
	// Begin is when the event begins. Engines load the model before that. Zero means that the
	// event has begun.
	Begin time.Time `cbor:"8,keyasint,omitzero" json:"begin,omitzero" yaml:"begin"`
	// KeyHashes are the SHA-256 hashes of the account's keys, in hex.
	KeyHashes []string `cbor:"9,keyasint" json:"key_hashes" yaml:"key_hashes" validate:"dive,len=64,hexadecimal"`

	// Revision is the fleet-wide revision at which this template took effect.
	Revision int64 `cbor:"10,keyasint" json:"revision" yaml:"-"`
	// Sequence counts the publishes of this template, starting at 1.
	Sequence int64 `cbor:"11,keyasint" json:"sequence" yaml:"-"`
	// PublishID identifies the publish. A publisher whose answer was lost uses it to find out
	// whether the publish was accepted.
	PublishID string `cbor:"12,keyasint" json:"change" yaml:"-"`
}

// Pool returns the pool that serves the template.
func (t *Template) Pool() Pool {
	return Pool{Model: t.Model, Adapter: t.Adapter, Version: t.ModelTag}
}

// HashKey returns the hash of a client account's key for KeyHashes: its SHA-256 as 64
// hexadecimal digits. The key itself is never stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
