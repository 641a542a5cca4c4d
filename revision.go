package ryeford

import "fmt"

// A Revision identifies a state of a source that numbers its changes, such as the store. It consists
// of the source's era and the number of its newest change. Revisions are ordered by era, then by
// number. A source that is restored from a backup starts a new era and reuses change numbers, so
// numbers of different eras can't be compared. Zero means no state.
type Revision int64

const (
	// numberBits is the size of the change number. It suffices for 80 years at 400 changes per
	// second.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(63-numberBits) - 1
)

// NewRevision returns the Revision for a change number within an era. A source without eras uses
// era zero. It returns a *RevisionError if a value is out of range.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era > maxEra || number < 0 || number > maxNumber {
		return 0, &RevisionError{Era: era, Number: number}
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the source's era.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number of the newest change, as assigned by the source.
func (r Revision) Number() int64 { return int64(r) & maxNumber }

// String returns ERA.NUMBER.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }

// A RevisionError reports an era or a number that is out of range.
type RevisionError struct{ Era, Number int64 }

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("era %d or number %d out of range", e.Era, e.Number)
}
