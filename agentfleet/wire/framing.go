package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxMessageSize is the maximum size of an encoded message, in bytes. It must be large
	// enough for a prompt and for a chat's KV cache.
	maxMessageSize = 8 << 20
	// lengthSize is the size of the length prefix of a message, in bytes.
	lengthSize = 4

	// Limits of a message's structure.
	maxNestedLevels  = 16
	maxArrayElements = 1 << 20
)

var encMode, decMode = newModes()

// newModes returns the CBOR modes of the protocol. It panics on invalid options, which
// are constant.
func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxNestedLevels: maxNestedLevels, MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Marshal returns the CBOR encoding of v, without framing.
func Marshal(v any) ([]byte, error) {
	return encMode.Marshal(v)
}

// Unmarshal decodes CBOR into v. The error is a *MalformedError.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return &MalformedError{Err: err}
	}
	return nil
}

// WriteMessage writes a framed message with a single call of Write. The error is a
// *MalformedError, a *SizeError or the error of w.
func WriteMessage(w io.Writer, m *Message) error {
	body, err := encMode.Marshal(m)
	if err != nil {
		return &MalformedError{Err: err}
	}
	if len(body) > maxMessageSize {
		return &SizeError{Size: uint32(len(body))}
	}
	buf := make([]byte, lengthSize, lengthSize+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	_, err = w.Write(append(buf, body...))
	return err
}

// ReadMessage reads a framed message. The error is a *MalformedError, a *SizeError,
// io.ErrUnexpectedEOF if the message is truncated, or the error of r.
func ReadMessage(r io.Reader) (*Message, error) {
	var header [lengthSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageSize {
		return nil, &SizeError{Size: size}
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	m := &Message{}
	if err := Unmarshal(body, m); err != nil {
		return nil, err
	}
	return m, nil
}

// A SizeError reports that a message is larger than maxMessageSize.
type SizeError struct {
	Size uint32
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over %d", e.Size, maxMessageSize)
}

// A MalformedError reports that a message can't be encoded or decoded.
type MalformedError struct {
	Err error
}

func (e *MalformedError) Error() string { return "malformed message: " + e.Err.Error() }

func (e *MalformedError) Unwrap() error { return e.Err }
