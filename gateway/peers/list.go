package peers

import (
	"time"

	"github.com/ryeford/ryeford"
)

// NewList returns the List of a copy of the list of endpoints that is valid for the revisions from
// to to, both of one era. full reports whether the copy was last read in full, and confirmedAt is
// the reading of the source's clock at the last confirmation.
func NewList(from, to ryeford.Revision, full bool, confirmedAt time.Duration) *List {
	return &List{Era: to.Era(), From: from.Number(), To: to.Number(), Full: full, ConfirmedAt: confirmedAt}
}

// Revisions returns the range of revisions for which the sender's copy is valid, and false if the
// numbers in the message are not valid revisions.
func (l *List) Revisions() (from, to ryeford.Revision, ok bool) {
	from, errFrom := ryeford.NewRevision(l.Era, l.From)
	to, errTo := ryeford.NewRevision(l.Era, l.To)
	return from, to, errFrom == nil && errTo == nil
}
