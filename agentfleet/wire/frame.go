package wire

import "github.com/ryeford/ryeford"

// A Frame is one chunk of an answer to a request; its fields are those of
// ryeford.Chunk.
type Frame struct {
	Request ryeford.RequestID    `cbor:"1,keyasint"`
	Attempt ryeford.AttemptID    `cbor:"2,keyasint"`
	Offset  int64                `cbor:"3,keyasint"`
	Data    []byte               `cbor:"4,keyasint,omitempty"`
	Finish  ryeford.FinishReason `cbor:"5,keyasint,omitempty"`
	Failure string               `cbor:"6,keyasint,omitempty"`
	// Usage is set on the last frame only.
	Usage       *ryeford.Usage `cbor:"7,keyasint,omitempty"`
	Status      int            `cbor:"8,keyasint,omitempty"`
	ContentType string         `cbor:"9,keyasint,omitempty"`
	Reason      ryeford.Reason `cbor:"10,keyasint,omitempty"`
	// NotRun is set on a last frame that says that the attempt did not run.
	NotRun bool `cbor:"11,keyasint,omitempty"`
}

// NewFrame returns the frame of a chunk.
func NewFrame(request ryeford.RequestID, c *ryeford.Chunk) *Frame {
	f := &Frame{
		Request:     request,
		Attempt:     c.Attempt,
		Offset:      c.Offset,
		Data:        c.Data,
		Finish:      c.Finish,
		Failure:     c.Failure,
		Status:      c.Status,
		ContentType: c.ContentType,
		Reason:      c.Reason,
		NotRun:      c.NotRun,
	}
	if c.Finish != "" {
		f.Usage = &c.Usage
	}
	return f
}

// Chunk returns the chunk of a frame.
func (f *Frame) Chunk() ryeford.Chunk {
	c := ryeford.Chunk{
		Attempt:     f.Attempt,
		Offset:      f.Offset,
		Data:        f.Data,
		Finish:      f.Finish,
		Failure:     f.Failure,
		Status:      f.Status,
		ContentType: f.ContentType,
		Reason:      f.Reason,
		NotRun:      f.NotRun,
	}
	if f.Usage != nil {
		c.Usage = *f.Usage
	}
	return c
}
