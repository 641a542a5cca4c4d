package settings

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
)

// A Template is a template as an operator writes it.
type Template struct {
	Account  ryeford.AccountID `yaml:"account" validate:"required,max=64,excludesall=/ "`
	Name     string            `yaml:"name" validate:"required,max=64,excludesall=/ "`
	Model    string            `yaml:"model" validate:"required,max=64"`
	Adapter  string            `yaml:"adapter" validate:"max=64"`
	Version  string            `yaml:"version" validate:"max=64"`
	Priority ryeford.Priority  `yaml:"priority" validate:"min=0,max=9"`
	Share    float64           `yaml:"share" validate:"gt=0,lte=1"`
	Begin    time.Time         `yaml:"begin"`
	// Keys are the account's keys. Only their hashes are published.
	Keys      []string `yaml:"keys" validate:"dive,min=8,max=256"`
	KeyHashes []string `yaml:"key_hashes" validate:"dive,len=64,hexadecimal"`
}

// DefaultTemplate returns a Template with the defaults of what may be left out.
func DefaultTemplate() *Template { return &Template{Priority: ryeford.PriorityDefault} }

// Publishable returns the template as it is published.
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
		p.KeyHashes = append(p.KeyHashes, template.HashKey(key))
	}
	return p
}
