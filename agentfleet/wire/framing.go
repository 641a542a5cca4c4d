package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize bounds one encoded message, in bytes.
const MaxMessageSize = 8 << 20

const lengthSize = 4

var encMode, decMode = newModes()

// newModes returns the CBOR modes of the protocol.
func newModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) {
	return encMode.Marshal(v)
}

// Unmarshal decodes CBOR into v.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return &MalformedError{Err: err}
	}
	return nil
}

// WriteMessage writes one framed message in one call of Write.
func WriteMessage(w io.Writer, m *Message) error {
	body, err := encMode.Marshal(m)
	if err != nil {
		return &MalformedError{Err: err}
	}
	if len(body) > MaxMessageSize {
		return &SizeError{Size: uint32(len(body))}
	}
	buf := make([]byte, lengthSize, lengthSize+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	_, err = w.Write(append(buf, body...))
	return err
}

// ReadMessage reads one framed message.
func ReadMessage(r io.Reader) (*Message, error) {
	var header [lengthSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxMessageSize {
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
