package peers

import (
	"time"

	"github.com/ryeford/ryeford"
)

// ListOf returns a List: the revisions from and to, of one era, at which the list of endpoints is as a
// copy has it; whether the copy was read whole; and when it was last confirmed.
func ListOf(from, to ryeford.Revision, whole bool, confirmedAt time.Duration) *List {
	return &List{Era: to.Era(), From: from.Number(), To: to.Number(), Whole: whole, ConfirmedAt: confirmedAt}
}

// Revisions returns the revisions at which the list is as the sender's copy has it, and false if the
// message doesn't name any.
func (l *List) Revisions() (from, to ryeford.Revision, ok bool) {
	from, errFrom := ryeford.NewRevision(l.Era, l.From)
	to, errTo := ryeford.NewRevision(l.Era, l.To)
	return from, to, errFrom == nil && errTo == nil
}
