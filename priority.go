package ryeford

// A Priority is the priority of a request. Requests of a higher priority are served first and
// refused last.
type Priority int

// The priorities that templates and callers may ask for.
const (
	PriorityLowest  Priority = 0
	PriorityDefault Priority = 5
	PriorityHighest Priority = 9
)

// Valid reports whether p is within the allowed range.
func (p Priority) Valid() bool {
	return p >= PriorityLowest && p <= PriorityHighest
}
