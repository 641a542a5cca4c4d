// Package template keeps the templates of the client accounts: which are in
// force here (a Book), and how they are published (a Store).
//
// A Book is in memory and as old as the last delta that reached the process, by gossip
// or by a poll; it never goes back. A Store owns the rows revision, template/, change/,
// history/ and publish/ of the platform's table, and relies on its transactions.
package template

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/ryeford/ryeford"
)

// A Book holds the templates that are in force in this process. Its revision
// never goes down, and it holds every template up to its revision.
type Book struct {
	mu        sync.RWMutex
	revision  int64
	templates map[Name]*ryeford.Template
	accounts  map[string]ryeford.AccountID // by key hash
	changed   chan struct{}
}

// NewBook returns an empty Book at revision zero.
func NewBook() *Book {
	return &Book{
		templates: make(map[Name]*ryeford.Template),
		accounts:  make(map[string]ryeford.AccountID),
		changed:   make(chan struct{}),
	}
}

// Revision returns the revision that is in force.
func (b *Book) Revision() int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.revision
}

// Changed returns a channel that is closed at the next change.
func (b *Book) Changed() <-chan struct{} {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.changed
}

// Apply puts a delta in force: all templates that changed after revision from,
// up to revision to. It reports whether the book advanced.
func (b *Book) Apply(from, to int64, templates []ryeford.Template) bool {
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

// advances reports whether a delta is applied to a book at a revision. One that is old,
// or that would leave a gap, is not.
func canApply(revision, from, to int64) bool {
	return to > revision && from <= revision
}

// apply keeps a template, unless a later one of its name is held.
func (b *Book) apply(t *ryeford.Template) {
	name := Name{Account: t.Account, Name: t.Name}
	if current, ok := b.templates[name]; ok && current.Revision >= t.Revision {
		return
	}
	stored := *t
	b.templates[name] = &stored
}

func (b *Book) indexKeys() {
	clear(b.accounts)
	for _, t := range b.templates {
		for _, hash := range t.KeyHashes {
			b.accounts[hash] = t.Account
		}
	}
}

// Since returns the templates above a revision and the revision they lead to.
func (b *Book) Since(revision int64) (int64, []ryeford.Template) {
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

// KeyOwner returns the client account that a key's hash belongs to.
func (b *Book) KeyOwner(hash string) (ryeford.AccountID, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	account, ok := b.accounts[hash]
	return account, ok
}

// Find returns the template that serves an account's model: the one of that
// name, or the first by name with that model. A template must not be changed.
func (b *Book) Find(account ryeford.AccountID, model string) (*ryeford.Template, bool) {
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

// A Name names a template.
type Name struct {
	Account ryeford.AccountID
	Name    string
}

// String returns the name as ACCOUNT/NAME.
func (n Name) String() string { return string(n.Account) + "/" + n.Name }

// ParseName returns the name that ACCOUNT/NAME means.
func ParseName(text string) (Name, error) {
	account, name, ok := strings.Cut(text, "/")
	if !ok || account == "" || name == "" || strings.Contains(name, "/") {
		return Name{}, &ryeford.InputError{Field: "template", Problem: "want ACCOUNT/NAME"}
	}
	return Name{Account: ryeford.AccountID(account), Name: name}, nil
}
