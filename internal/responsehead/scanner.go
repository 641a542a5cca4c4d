// Package responsehead checks whether bytes are the head of a response in HTTP/1.1 (RFC 9112). net/http also accepts
// some that are none.
package responsehead

import (
	"fmt"
	"strings"
)

// A MalformedError reports bytes that are no head of a response.
type MalformedError struct {
	Part Part
	Byte byte // the first one that can't stand there
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response head: %q in its %s", e.Byte, e.Part)
}

// A Part is a part of a head.
type Part string

// The parts.
const (
	PartVersion Part = "protocol version"
	PartStatus  Part = "status"
	PartReason  Part = "reason"
	PartName    Part = "field name"
	PartValue   Part = "field value"
)

const (
	// statusLineStart is what a status line begins with. A recipient of HTTP/1.1 accepts each minor version.
	statusLineStart = "HTTP/1.x "
	// minorVersion stands for a digit in statusLineStart.
	minorVersion = 'x'
	// statusLen is the number of digits of a status.
	statusLen = 3
	// switchingProtocols is the status of a response to a request for another protocol, which is never made.
	switchingProtocols = "101"
)

// A step is a place in a head.
type step int

const (
	stepVersion   step = iota // within statusLineStart
	stepStatus                // within the status, or in further spaces before it
	stepStatusEnd             // after the status
	stepReason                // within the reason
	stepFirstLine             // at the start of the first line after the status line
	stepLine                  // at the start of a further line
	stepName                  // within the name of a field
	stepValue                 // within the value of a field
	stepEnd                   // after the head of a final response
)

// A Scanner checks the head of a final response, and those of the interim responses before it, while their bytes
// arrive. The zero Scanner expects the first byte.
type Scanner struct {
	step    step
	offset  int  // within the part that step names
	afterCR bool // the last byte was a carriage return, which only a line feed may follow
	status  [statusLen]byte
}

// Scan checks the next bytes. It ignores what follows the head of the final response. The error is a *MalformedError,
// after which the Scanner must not be used.
func (s *Scanner) Scan(b []byte) error {
	for _, c := range b {
		if s.step == stepEnd {
			return nil
		}
		if part := s.part(); !s.next(c) {
			return &MalformedError{Part: part, Byte: c}
		}
	}
	return nil
}

// part returns the part of the head in which the next byte stands.
func (s *Scanner) part() Part {
	switch s.step {
	case stepVersion:
		return PartVersion
	case stepStatus, stepStatusEnd:
		return PartStatus
	case stepReason:
		return PartReason
	case stepValue:
		return PartValue
	default:
		return PartName
	}
}

// next reports whether a byte may stand where it stands.
func (s *Scanner) next(c byte) bool {
	if s.afterCR && c != '\n' {
		return false
	}
	if s.afterCR = c == '\r'; s.afterCR {
		return s.step != stepVersion && s.step != stepStatus && s.step != stepName
	}
	switch s.step {
	case stepVersion:
		return s.nextOfVersion(c)
	case stepStatus:
		return s.nextOfStatus(c)
	case stepStatusEnd:
		s.step = stepReason
		return c == ' ' || c == '\n' && s.nextOfReason(c)
	case stepReason:
		return s.nextOfReason(c)
	case stepName:
		return s.nextOfName(c)
	case stepValue:
		return s.nextOfValue(c)
	default:
		return s.startLine(c)
	}
}

func (s *Scanner) nextOfVersion(c byte) bool {
	want := statusLineStart[s.offset]
	s.offset++
	if s.offset == len(statusLineStart) {
		s.step, s.offset = stepStatus, 0
	}
	if want == minorVersion {
		return isDigit(c)
	}
	return c == want
}

// nextOfStatus checks a byte of the status, which is from 100 to 599.
func (s *Scanner) nextOfStatus(c byte) bool {
	if s.offset == 0 && c == ' ' {
		return true
	}
	s.status[s.offset] = c
	s.offset++
	switch s.offset {
	case 1:
		return c >= '1' && c <= '5'
	case statusLen:
		s.step, s.offset = stepStatusEnd, 0
	}
	return isDigit(c) && string(s.status[:]) != switchingProtocols
}

func (s *Scanner) nextOfReason(c byte) bool {
	if c == '\n' {
		s.step = stepFirstLine
		return true
	}
	return isText(c)
}

// startLine checks the first byte of a line after the status line. A blank there continues the value of the field before.
func (s *Scanner) startLine(c byte) bool {
	first := s.step == stepFirstLine
	switch {
	case c == '\n':
		s.endHead()
		return true
	case isBlank(c):
		s.step = stepValue
		return !first
	}
	s.step = stepName
	return isToken(c)
}

// nextOfName checks a byte of a field's name. A blank before the colon is an error too: what the field stands for, such as
// the length of the body, would be lost.
func (s *Scanner) nextOfName(c byte) bool {
	if c == ':' {
		s.step = stepValue
		return true
	}
	return isToken(c)
}

func (s *Scanner) nextOfValue(c byte) bool {
	if c == '\n' {
		s.step = stepLine
		return true
	}
	return isText(c)
}

// endHead is called after the empty line. Another head follows that of an interim response.
func (s *Scanner) endHead() {
	interim := s.status[0] == '1'
	*s = Scanner{}
	if !interim {
		s.step = stepEnd
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isText reports whether a byte may stand in a reason or in the value of a field.
func isText(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }

// tokenMarks are the bytes that may stand in the name of a field beside letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether a byte may stand in the name of a field.
func isToken(c byte) bool {
	letter := c|0x20 >= 'a' && c|0x20 <= 'z'
	return letter || isDigit(c) || strings.IndexByte(tokenMarks, c) >= 0
}
