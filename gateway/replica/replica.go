// Package replica keeps a router's copy of the list of endpoints in sync with its source and with the
// copies of its peers, and decides when, and by which router, the source is read.
//
// It owns the contents of the list for a range of the source's revisions. It relies on the source to
// increase the revision with each change and each restore, and on its user to carry messages, which
// may be lost, delayed or duplicated. It does no I/O. A router's view of the endpoints is in package
// roster. The rule of which router reads is in schedule.go.
package replica

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// maxRemoved is the maximum number of removed endpoints that are kept to be reported to peers. A
// peer that lacks more removals is sent a snapshot.
const maxRemoved = 4096

// A Range is the range of the source's revisions, From to To, for which a copy of the list is valid.
// From is the revision of the copy's newest change, and there is no later change up to To.
type Range struct {
	From, To ryeford.Revision
}

// IsSet reports whether the copy of r has been read.
func (r Range) IsSet() bool { return r.To > 0 }

// Changes are an update of a copy from one range of revisions to another.
type Changes struct {
	// Snapshot reports whether Present is the full list. Otherwise Present and Removed are the
	// changes after Since. Removed holds names.
	Snapshot bool
	Since    ryeford.Revision
	Present  []ryeford.Endpoint
	Removed  []ryeford.EndpointID
	// Range is the range of a copy to which the changes have been applied.
	Range Range
}

// FromSource returns the Changes of a response of the source to a read of the changes since a revision
// or of the full list.
//
// A snapshot doesn't show when endpoints were removed, so its newest change may be of any revision
// up to its own.
func FromSource(update *ryeford.EndpointUpdate, since ryeford.Revision) Changes {
	c := Changes{
		Snapshot: update.Snapshot, Since: since, Present: update.Present, Removed: update.Removed,
		Range: Range{From: update.Revision, To: update.Revision},
	}
	if !update.Snapshot && update.NewestChange > since {
		c.Range.From = min(update.NewestChange, update.Revision)
	}
	return c
}

// Empty reports whether c changes only the range.
func (c *Changes) Empty() bool { return !c.Snapshot && len(c.Present)+len(c.Removed) == 0 }

// An ApplyResult is the result of applying Changes.
type ApplyResult int

// The results.
const (
	// Applied means that the changes were applied.
	Applied ApplyResult = iota
	// Outdated means that the copy is newer than the changes.
	Outdated
	// Gap means that the copy lacks earlier changes.
	Gap
)

// A Replica is a copy of the list of endpoints. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	at      Range
	entries map[ryeford.EndpointID]entry            // by name: the list has one incarnation of an endpoint
	removed map[ryeford.EndpointID]ryeford.Revision // by name: the latest possible revision of the removal
	horizon ryeford.Revision                        // removals up to this revision are no longer kept
}

// An entry is an endpoint on the list.
type entry struct {
	endpoint ryeford.Endpoint
	changed  ryeford.Revision // latest possible revision of its last change
}

// New returns an empty Replica that has not been read.
func New() *Replica {
	return &Replica{entries: make(map[ryeford.EndpointID]entry), removed: make(map[ryeford.EndpointID]ryeford.Revision)}
}

// Range returns the range of revisions for which r is valid.
func (r *Replica) Range() Range {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// Follows reports whether changes show each endpoint that was listed since r was read, so that none has come and gone
// unseen.
func (r *Replica) Follows(c *Changes) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Snapshot {
		return false
	}
	for _, name := range c.Removed {
		if _, known := r.entries[name]; !known {
			return false
		}
	}
	return true
}

// Apply applies changes, unless r is newer or lacks earlier changes.
func (r *Replica) Apply(c *Changes) ApplyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !c.Snapshot && c.Since > r.at.To:
		return Gap
	case c.Range.To < r.at.To:
		return Outdated
	case c.Snapshot:
		r.applySnapshot(c)
	default:
		r.applyChanges(c)
	}
	return Applied
}

// applyChanges applies incremental changes that follow r without a gap.
func (r *Replica) applyChanges(c *Changes) {
	for _, endpoint := range c.Present {
		r.put(endpoint, c.Range.From)
	}
	for _, id := range c.Removed {
		r.remove(id, c.Range.From)
	}
	if !c.Empty() {
		r.at.From = max(r.at.From, c.Range.From)
	}
	r.at.To = c.Range.To
}

// applySnapshot applies a full list. Only entries that differ count as changed.
func (r *Replica) applySnapshot(c *Changes) {
	differs := false
	present := make(map[ryeford.EndpointID]bool, len(c.Present))
	for _, endpoint := range c.Present {
		name := endpoint.ID.Name()
		present[name] = true
		if old, exists := r.entries[name]; !exists || !old.endpoint.Equal(&endpoint) {
			r.put(endpoint, c.Range.From)
			differs = true
		}
	}
	for name := range r.entries {
		if !present[name] {
			r.remove(name, c.Range.From)
			differs = true
		}
	}
	switch {
	case !r.at.IsSet() || c.Range.To.Era() > r.at.To.Era():
		// Revisions don't show which changes a copy of an earlier era lacks. A peer with such a
		// copy is sent a snapshot.
		r.at, r.horizon = c.Range, c.Range.From
		clear(r.removed)
	case differs:
		r.at = c.Range
	default:
		r.at.To = c.Range.To
	}
}

func (r *Replica) put(endpoint ryeford.Endpoint, changed ryeford.Revision) {
	name := endpoint.ID.Name()
	r.entries[name] = entry{endpoint: endpoint, changed: changed}
	delete(r.removed, name)
}

func (r *Replica) remove(name ryeford.EndpointID, changed ryeford.Revision) {
	delete(r.entries, name)
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
		r.horizon = changed
	}
	r.removed[name] = changed
}

// Since returns the changes after a revision, or a snapshot if r no longer has all of them.
func (r *Replica) Since(revision ryeford.Revision) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Changes{Snapshot: revision < r.horizon, Since: revision, Range: r.at}
	for _, e := range r.entries {
		if c.Snapshot || e.changed > revision {
			c.Present = append(c.Present, e.endpoint)
		}
	}
	if c.Snapshot {
		return c
	}
	for name, changed := range r.removed {
		if changed > revision {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
}

// A Relation is the result of comparing a peer's copy with the local one.
type Relation int

// The relations of a peer's copy to the local one.
const (
	// Same means that both copies have the same contents.
	Same Relation = iota
	// Newer means that the peer's copy has changes that the local one lacks.
	Newer
	// Older means that the peer's copy lacks changes of the local one, or has not been read.
	Older
)

// Compare returns the relation of a peer's copy with range peer to the copy with range r.
func (r Range) Compare(peer Range) Relation {
	switch {
	case peer.From > r.To:
		return Newer
	case peer.To < r.From:
		return Older
	}
	return Same
}

// MergeRange compares the range of a peer's copy with that of r. If both copies have the same
// contents, the range of r is extended by the peer's.
func (r *Replica) MergeRange(peer Range) Relation {
	r.mu.Lock()
	defer r.mu.Unlock()
	relation := r.at.Compare(peer)
	if relation == Same && r.at.IsSet() {
		r.at = Range{From: min(r.at.From, peer.From), To: max(r.at.To, peer.To)}
	}
	return relation
}
