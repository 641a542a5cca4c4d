package answer

import "fmt"

// An OffsetError says that an answer has no chunk at an offset, and will get none
// next.
type OffsetError struct {
	Offset int64 // that was asked for
	First  int64 // of the answer's first chunk
	Next   int64 // after its last chunk so far
}

// Error returns the text of e.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is outside the answer's %d to %d", e.Offset, e.First, e.Next)
}
