package ryeford

import "fmt"

// A Revision is a state of a source, such as the store, that numbers its changes. A later state has a
// greater Revision: the source's era counts first, and the number of its newest change within it.
// A source that is back from a copy of an earlier state begins another era and gives numbers out
// again, so that numbers of two eras say nothing of each other. Zero stands for no state.
type Revision int64

const (
	// numberBits are for the number of a change within an era: 80 years of 400 changes a second.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(63-numberBits) - 1
)

// NewRevision returns the Revision of a change's number within an era. A source without eras has
// the era zero. The error is a *RevisionError.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era > maxEra || number < 0 || number > maxNumber {
		return 0, &RevisionError{Era: era, Number: number}
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the source's era.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number of the newest change, as the source gave it out.
func (r Revision) Number() int64 { return int64(r) & maxNumber }

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }

// A RevisionError says that an era or a number is out of range.
type RevisionError struct{ Era, Number int64 }

// Error returns the text of e.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("era %d or number %d out of range", e.Era, e.Number)
}
