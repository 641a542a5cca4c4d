// Package template manages the templates of the client accounts: a Cache holds the
// templates that are in force in a process, a Store publishes them.
//
// A Cache is an in-memory copy, updated with deltas from gossip or polls; its revision
// never decreases. A Store owns the rows revision, template/, change/, history/ and
// publish/ of the platform's table, and relies on the table's transactions.
package template

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/ryeford/ryeford"
)

// A Cache holds the templates that are in force in this process. Its revision never
// decreases, and it includes each template up to its revision. It is safe for
// concurrent use.
type Cache struct {
	mu        sync.RWMutex
	revision  int64
	templates map[Name]*ryeford.Template
	accounts  map[string]ryeford.AccountID // by hash of the API key
	changed   chan struct{}
}

// NewCache returns an empty Cache at revision zero.
func NewCache() *Cache {
	return &Cache{
		templates: make(map[Name]*ryeford.Template),
		accounts:  make(map[string]ryeford.AccountID),
		changed:   make(chan struct{}),
	}
}

// Revision returns the revision in force.
func (b *Cache) Revision() int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.revision
}

// Changed returns a channel that is closed when the cache changes next.
func (b *Cache) Changed() <-chan struct{} {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.changed
}

// Apply applies a delta: all templates that changed after revision from, up to and
// including revision to. It reports whether the cache's revision increased.
func (b *Cache) Apply(from, to int64, templates []ryeford.Template) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !canApply(b.revision, from, to) {
		return false
	}
	for i := range templates {
		b.apply(&templates[i])
	}
	b.revision = to
	b.indexKeys()
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// canApply reports whether a delta can be applied to a cache at a revision. A delta that
// is stale or would leave a gap can't.
func canApply(revision, from, to int64) bool {
	return to > revision && from <= revision
}

// apply stores a template unless the cache has a version of it that is at least as new.
func (b *Cache) apply(t *ryeford.Template) {
	name := Name{Account: t.Account, Name: t.Name}
	if current, ok := b.templates[name]; ok && current.Revision >= t.Revision {
		return
	}
	stored := *t
	b.templates[name] = &stored
}

func (b *Cache) indexKeys() {
	clear(b.accounts)
	for _, t := range b.templates {
		for _, hash := range t.KeyHashes {
			b.accounts[hash] = t.Account
		}
	}
}

// ChangedSince returns the cache's revision and the templates that changed after the
// given one, ordered by revision.
func (b *Cache) ChangedSince(revision int64) (int64, []ryeford.Template) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var changed []ryeford.Template
	for _, t := range b.templates {
		if t.Revision > revision {
			changed = append(changed, *t)
		}
	}
	slices.SortFunc(changed, func(a, c ryeford.Template) int { return cmp.Compare(a.Revision, c.Revision) })
	return b.revision, changed
}

// KeyOwner returns the client account of an API key, given the key's hash.
func (b *Cache) KeyOwner(hash string) (ryeford.AccountID, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	account, ok := b.accounts[hash]
	return account, ok
}

// Find returns the template for an account's model: the template of that name, or else
// the first one by name with that model. The caller must not modify it.
func (b *Cache) Find(account ryeford.AccountID, model string) (*ryeford.Template, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if t, ok := b.templates[Name{Account: account, Name: model}]; ok {
		return t, true
	}
	var found *ryeford.Template
	for name, t := range b.templates {
		serves := name.Account == account && t.Model == model
		if serves && (found == nil || t.Name < found.Name) {
			found = t
		}
	}
	return found, found != nil
}

// A Name identifies a template.
type Name struct {
	Account ryeford.AccountID
	Name    string
}

// String returns the name as ACCOUNT/NAME.
func (n Name) String() string { return string(n.Account) + "/" + n.Name }

// ParseName parses ACCOUNT/NAME. The error is a *ryeford.InputError.
func ParseName(text string) (Name, error) {
	account, name, ok := strings.Cut(text, "/")
	if !ok || account == "" || name == "" || strings.Contains(name, "/") {
		return Name{}, &ryeford.InputError{Field: "template", Problem: "want ACCOUNT/NAME"}
	}
	return Name{Account: ryeford.AccountID(account), Name: name}, nil
}
