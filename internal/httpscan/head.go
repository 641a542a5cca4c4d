// Package httpscan checks whether bytes are a response in HTTP/1.1 (RFC 9112). net/http also accepts some that are none,
// and judges the others only once they are whole.
package httpscan

import (
	"fmt"
	"strings"
)

// A MalformedError reports bytes that are no response.
type MalformedError struct {
	Part Part
	Byte byte // the first one that can't stand there
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %q in its %s", e.Byte, e.Part)
}

// A Part is a part of a response.
type Part string

// The parts.
const (
	PartVersion Part = "protocol version"
	PartStatus  Part = "status"
	PartReason  Part = "reason"
	PartName    Part = "field name"
	PartValue   Part = "field value"
	PartChunk   Part = "chunk"
)

const (
	// statusLineStart is what a status line begins with. A recipient of HTTP/1.1 accepts each minor version.
	statusLineStart = "HTTP/1.x "
	// minorVersion stands for a digit in statusLineStart.
	minorVersion = 'x'
	// maxStatus is the largest status.
	maxStatus = 599
	// statusLen is the number of digits of a status.
	statusLen = 3
	// switchingProtocols is the status of a response to a request for another protocol, which is never made.
	switchingProtocols = "101"
	// encodingName is the name of the field that states chunks. In HTTP/1.0, which has none, it hides where the body ends.
	encodingName = "transfer-encoding"
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

// A Head checks the head of a final response, and those of the interim responses before it, while their bytes arrive.
// The zero Head expects the first byte.
type Head struct {
	step    step
	offset  int  // within the part that step names
	afterCR bool // the last byte was a carriage return, which only a line feed may follow
	status  [statusLen]byte
	minor   byte // digit of the minor version
	// encoding is the number of bytes of the current name that are those of encodingName, or -1.
	encoding int
}

// newTrailer returns a Head that checks the fields of a trailer.
func newTrailer() Head { return Head{step: stepFirstLine} }

// Scan checks the next bytes, and ignores what follows the head of the final response. It returns the number of bytes
// before the first one that can't stand there. The error is a *MalformedError, after which the Head must not be used.
func (h *Head) Scan(b []byte) (int, error) {
	for i, c := range b {
		if h.step == stepEnd {
			break
		}
		if part := h.part(); !h.next(c) {
			return i, &MalformedError{Part: part, Byte: c}
		}
	}
	return len(b), nil
}

// part returns the part of the head in which the next byte stands.
func (h *Head) part() Part {
	switch h.step {
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
func (h *Head) next(c byte) bool {
	if h.afterCR && c != '\n' {
		return false
	}
	if h.afterCR = c == '\r'; h.afterCR {
		return h.step != stepVersion && h.step != stepStatus && h.step != stepName
	}
	switch h.step {
	case stepVersion:
		return h.nextOfVersion(c)
	case stepStatus:
		return h.nextOfStatus(c)
	case stepStatusEnd:
		h.step = stepReason
		return c == ' ' || c == '\n' && h.nextOfReason(c)
	case stepReason:
		return h.nextOfReason(c)
	case stepName:
		return h.nextOfName(c)
	case stepValue:
		return h.nextOfValue(c)
	default:
		return h.startLine(c)
	}
}

func (h *Head) nextOfVersion(c byte) bool {
	want := statusLineStart[h.offset]
	h.offset++
	if h.offset == len(statusLineStart) {
		h.step, h.offset = stepStatus, 0
	}
	if want == minorVersion {
		h.minor = c
		return isDigit(c)
	}
	return c == want
}

// nextOfStatus checks a byte of the status, which is from 100 to 599.
func (h *Head) nextOfStatus(c byte) bool {
	if h.offset == 0 && c == ' ' {
		return true
	}
	h.status[h.offset] = c
	h.offset++
	switch h.offset {
	case 1:
		return c >= '1' && c <= '5'
	case statusLen:
		h.step, h.offset = stepStatusEnd, 0
	}
	return isDigit(c) && string(h.status[:]) != switchingProtocols
}

func (h *Head) nextOfReason(c byte) bool {
	if c == '\n' {
		h.step = stepFirstLine
		return true
	}
	return isText(c)
}

// startLine checks the first byte of a line after the status line. A blank there continues the value of the field before.
func (h *Head) startLine(c byte) bool {
	first := h.step == stepFirstLine
	switch {
	case c == '\n':
		h.endHead()
		return true
	case isBlank(c):
		h.step = stepValue
		return !first
	}
	h.step, h.encoding = stepName, 0
	h.matchEncoding(c)
	return isToken(c)
}

// nextOfName checks a byte of a field's name. A blank before the colon is an error too: what the field stands for, such as
// the length of the body, would be lost.
func (h *Head) nextOfName(c byte) bool {
	if c == ':' {
		h.step = stepValue
		return h.minor != '0' || h.encoding != len(encodingName)
	}
	h.matchEncoding(c)
	return isToken(c)
}

// matchEncoding compares the next byte of a name with encodingName, without regard to case.
func (h *Head) matchEncoding(c byte) {
	if h.encoding >= 0 && h.encoding < len(encodingName) && c|0x20 == encodingName[h.encoding]|0x20 {
		h.encoding++
		return
	}
	h.encoding = -1
}

func (h *Head) nextOfValue(c byte) bool {
	if c == '\n' {
		h.step = stepLine
		return true
	}
	return isText(c)
}

// endHead is called after the empty line. Another head follows that of an interim response.
func (h *Head) endHead() {
	interim := h.status[0] == '1'
	*h = Head{}
	if !interim {
		h.step = stepEnd
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

// isName reports whether a text is the name of a field.
func isName(text string) bool {
	for i := range len(text) {
		if !isToken(text[i]) {
			return false
		}
	}
	return text != ""
}
