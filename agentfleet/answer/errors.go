package answer

import "fmt"

// An OffsetError says that an answer has no chunk at an offset.
type OffsetError struct {
	Offset int64
	First  int64
	Next   int64
}

// Error returns the text of e.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is outside the answer's %d to %d", e.Offset, e.First, e.Next)
}
