package peers

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Reports are encoded in reportSize bytes each, about half the size of a CBOR array.
type Reports []Report

const (
	reportSize = 4 + 2 + 1
	// ageUnit is the unit of a report's age in a message. One byte holds up to 255 units.
	ageUnit = 10 * time.Millisecond
)

// A ReportsError is returned if the length of a message's reports is not a multiple of reportSize.
type ReportsError struct {
	Length int // in bytes
}

// Error implements error.
func (e *ReportsError) Error() string {
	return fmt.Sprintf("malformed load reports: length %d is not a multiple of %d bytes", e.Length, reportSize)
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (r Reports) MarshalBinary() ([]byte, error) {
	content := make([]byte, 0, len(r)*reportSize)
	for _, report := range r {
		content = binary.BigEndian.AppendUint32(content, report.Endpoint)
		content = binary.BigEndian.AppendUint16(content, uint16(max(0, min(report.Requests, math.MaxUint16))))
		content = append(content, byte(max(0, min(report.Age/ageUnit, math.MaxUint8))))
	}
	return content, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. Its error is a *ReportsError.
func (r *Reports) UnmarshalBinary(content []byte) error {
	if len(content)%reportSize != 0 {
		return &ReportsError{Length: len(content)}
	}
	*r = make(Reports, 0, len(content)/reportSize)
	for ; len(content) > 0; content = content[reportSize:] {
		*r = append(*r, Report{
			Endpoint: binary.BigEndian.Uint32(content),
			Requests: int(binary.BigEndian.Uint16(content[4:])),
			Age:      time.Duration(content[6]) * ageUnit,
		})
	}
	return nil
}
