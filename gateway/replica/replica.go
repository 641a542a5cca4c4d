// Package replica keeps a router's copy of the list of endpoints in step with the list's source
// and with the copies of its peers, and decides when the source is read, and by which router.
//
// It owns what the list says, as of a range of the source's revisions. It relies on the source
// for revisions that rise with each change and each restore, and on the caller for carrying messages, which may
// be lost, come late or twice. It does no I/O. What a router believes of the endpoints is
// package roster's. The rule of who reads is in turns.go.
package replica

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// maxRemoved is how many endpoints that have left the list are remembered, so that peers can be
// told of them. A peer that lacks more is sent the whole list.
const maxRemoved = 4096

// A Range is the revisions of the source, From to To, at which the list is as a copy has it: the
// newest change that the copy holds is of From, and there is none up to To.
type Range struct {
	From, To ryeford.Revision
}

// Known reports whether r is the Range of a copy that was read.
func (r Range) Known() bool { return r.To > 0 }

// Changes are what brings a copy from one range of revisions to another.
type Changes struct {
	// Snapshot says that Present is the whole list. Otherwise Present and Removed are what
	// has changed after Since; Removed are names.
	Snapshot bool
	Since    ryeford.Revision
	Present  []ryeford.Endpoint
	Removed  []ryeford.EndpointID
	// Range is that of a copy that has them.
	Range Range
}

// FromSource returns the Changes of an answer of the source to a read of what has changed since a
// revision, or of the whole.
//
// A whole list tells not when what it lacks was removed: the newest change may be of any
// revision up to its own.
func FromSource(update *ryeford.EndpointUpdate, since ryeford.Revision) Changes {
	c := Changes{
		Snapshot: update.Snapshot, Since: since, Present: update.Present, Removed: update.Removed,
		Range: Range{From: update.Revision, To: update.Revision},
	}
	if !update.Snapshot && update.Changed > since {
		c.Range.From = min(update.Changed, update.Revision)
	}
	return c
}

// Empty reports whether c changes nothing but the range.
func (c *Changes) Empty() bool { return !c.Snapshot && len(c.Present)+len(c.Removed) == 0 }

// A Verdict says what became of Changes.
type Verdict int

// The verdicts.
const (
	// Applied means that the copy has the changes now.
	Applied Verdict = iota
	// Old means that the copy is newer.
	Old
	// Gap means that the copy lacks what came before them.
	Gap
)

// A Replica is a copy of the list. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	at      Range
	entries map[ryeford.EndpointID]entry            // by name: of an endpoint's lives the list has one
	removed map[ryeford.EndpointID]ryeford.Revision // by name: the revision up to which each has left
	horizon ryeford.Revision                        // removals up to this revision are forgotten
}

// An entry is an endpoint on the list.
type entry struct {
	endpoint ryeford.Endpoint
	changed  ryeford.Revision // no later than this revision
}

// New returns a Replica that was not read yet.
func New() *Replica {
	return &Replica{entries: make(map[ryeford.EndpointID]entry), removed: make(map[ryeford.EndpointID]ryeford.Revision)}
}

// Range returns the range of r.
func (r *Replica) Range() Range {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// Apply applies changes, unless r is newer or lacks what came before them.
func (r *Replica) Apply(c *Changes) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !c.Snapshot && c.Since > r.at.To:
		return Gap
	case c.Range.To < r.at.To:
		return Old
	case c.Snapshot:
		r.applySnapshot(c)
	default:
		r.applyChanges(c)
	}
	return Applied
}

// applyChanges applies changes without a gap to what is known.
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

// applySnapshot applies a whole list. Only what differs counts as changed.
func (r *Replica) applySnapshot(c *Changes) {
	differs := false
	present := make(map[ryeford.EndpointID]bool, len(c.Present))
	for _, endpoint := range c.Present {
		name := endpoint.ID.Name()
		present[name] = true
		if old, known := r.entries[name]; !known || !old.endpoint.SaysSame(&endpoint) {
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
	case !r.at.Known() || c.Range.To.Era() > r.at.To.Era():
		// Revisions don't show what a copy of an earlier era lacks: a peer that has one is sent the
		// whole list.
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

// Since returns what has changed after a revision: the whole list if r can't tell.
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

// A Relation is how a peer's copy stands to this one.
type Relation int

// The relations of a peer's copy.
const (
	// Same means that it says the same.
	Same Relation = iota
	// Newer means that it holds changes that this one lacks.
	Newer
	// Older means that it lacks changes that this one holds, or was not read yet.
	Older
)

// Compare returns how a copy of a range stands to one of another range.
func (r Range) Compare(theirs Range) Relation {
	switch {
	case theirs.From > r.To:
		return Newer
	case theirs.To < r.From:
		return Older
	}
	return Same
}

// Meet takes the range of a peer's copy, and returns how that stands to this one. What the peer
// knows of revisions at which nothing has changed, r knows from then on.
func (r *Replica) Meet(theirs Range) Relation {
	r.mu.Lock()
	defer r.mu.Unlock()
	relation := r.at.Compare(theirs)
	if relation == Same && r.at.Known() {
		r.at = Range{From: min(r.at.From, theirs.From), To: max(r.at.To, theirs.To)}
	}
	return relation
}
