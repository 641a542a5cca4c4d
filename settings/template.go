package settings

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Template is the template file that an operator writes.
type Template struct {
	// Account is the client account that owns the template.
	Account ryeford.AccountID `yaml:"account" unit:"characters" validate:"required,max=64,excludesall=/ "`
	// Name is the name of the template, unique within its account.
	Name string `yaml:"name" unit:"characters" validate:"required,max=64,excludesall=/ "`
	// Model is the model that serves its requests.
	Model string `yaml:"model" unit:"characters" validate:"required,max=64"`
	// Adapter is the adapter that is loaded with the model; empty for none.
	Adapter string `yaml:"adapter" unit:"characters" validate:"max=64"`
	// Version is the version of the model and adapter.
	Version string `yaml:"version" unit:"characters" validate:"max=64"`
	// Priority is the highest priority that a request may ask for, and that of
	// requests that ask for none; 9 is the highest.
	Priority ryeford.Priority `yaml:"priority" unit:"levels" validate:"min=0,max=9"`
	// Share is the part of the fleet that the account is entitled to in an overload.
	Share float64 `yaml:"share" unit:"part of the fleet" validate:"gt=0,lte=1"`
	// Begin is the start of the event that the template is for; its engines are warm
	// by then. If it is left out, the template is in force immediately.
	Begin time.Time `yaml:"begin"`
	// Keys are the account's keys. Only their hashes are published.
	Keys []string `yaml:"keys" unit:"characters" validate:"dive,min=8,max=256"`
	// KeyHashes are SHA-256 hashes of further keys, in hexadecimal.
	KeyHashes []string `yaml:"key_hashes" unit:"characters" validate:"dive,len=64,hexadecimal"`
}

// DefaultTemplate returns a Template with the defaults of the optional settings.
func DefaultTemplate() *Template { return &Template{Priority: ryeford.PriorityDefault} }

// Publishable returns the template in the form that is published, with hashed keys.
func (t *Template) Publishable() *ryeford.Template {
	p := &ryeford.Template{
		Account:   t.Account,
		Name:      t.Name,
		Model:     t.Model,
		Adapter:   t.Adapter,
		ModelTag:  t.Version,
		Priority:  t.Priority,
		Share:     t.Share,
		Begin:     t.Begin,
		KeyHashes: t.KeyHashes,
	}
	for _, key := range t.Keys {
		p.KeyHashes = append(p.KeyHashes, ryeford.HashKey(key))
	}
	return p
}
