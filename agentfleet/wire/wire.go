// Package wire holds the messages that routers and agents exchange, and their
// framing: a length in four bytes, big-endian, then one CBOR item.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ryeford/ryeford"
)

// MaxMessageSize bounds one encoded message, in bytes.
const MaxMessageSize = 8 << 20

// RumorFanout is to how many peers a process passes a new revision at once.
const RumorFanout = 8

const lengthSize = 4

// A Message is exactly one of its fields.
type Message struct {
	Dispatch   *Dispatch     `cbor:"1,keyasint,omitempty"`
	Join       *Join         `cbor:"2,keyasint,omitempty"`
	Admitted   *Admitted     `cbor:"3,keyasint,omitempty"`
	Refused    *Refused      `cbor:"4,keyasint,omitempty"`
	Frame      *Frame        `cbor:"5,keyasint,omitempty"`
	Cancel     *Cancel       `cbor:"6,keyasint,omitempty"`
	Watch      *Watch        `cbor:"7,keyasint,omitempty"`
	Inventory  *Inventory    `cbor:"8,keyasint,omitempty"`
	Pull       *Pull         `cbor:"9,keyasint,omitempty"`
	Delta      *Delta        `cbor:"10,keyasint,omitempty"`
	Successors *Successors   `cbor:"11,keyasint,omitempty"`
	Placements *Placements   `cbor:"12,keyasint,omitempty"`
	Import     *Import       `cbor:"13,keyasint,omitempty"`
	Explain    *Explain      `cbor:"14,keyasint,omitempty"`
	Decisions  *Decisions    `cbor:"15,keyasint,omitempty"`
	Plan       *ryeford.Plan `cbor:"16,keyasint,omitempty"`
	PullPlan   *PullPlan     `cbor:"17,keyasint,omitempty"`
	Leave      *Leave        `cbor:"18,keyasint,omitempty"`
	Done       *Done         `cbor:"19,keyasint,omitempty"`
}

// A Dispatch asks an agent to run an attempt.
type Dispatch struct {
	Request     ryeford.RequestID   `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID   `cbor:"2,keyasint"`
	Account     ryeford.AccountID   `cbor:"3,keyasint"`
	Chat        ryeford.ChatID      `cbor:"4,keyasint"`
	Engine      ryeford.EngineID    `cbor:"5,keyasint"`
	Incarnation ryeford.Incarnation `cbor:"6,keyasint"`
	Priority    ryeford.Priority    `cbor:"7,keyasint"`
	Share       float64             `cbor:"8,keyasint"`
	Repeatable  bool                `cbor:"9,keyasint"`
	// Expires is the last moment at which the agent may admit the attempt.
	Expires time.Time `cbor:"10,keyasint"`
	// Forget is until when the agent must know that it admitted the attempt.
	Forget time.Time `cbor:"12,keyasint"`
	// PoolMean is the router's estimate of the mean load of the engines that
	// serve the model.
	PoolMean float64 `cbor:"13,keyasint"`
	// MayRedirect lets the engine point to the one that holds the chat's prefix.
	MayRedirect bool                `cbor:"14,keyasint,omitempty"`
	Offset      int64               `cbor:"16,keyasint,omitempty"`
	Completion  *ryeford.Completion `cbor:"17,keyasint,omitempty"`
	Call        *ryeford.Call       `cbor:"18,keyasint,omitempty"`
	// Wait is how long the dispatch may wait for the load of an engine that
	// holds the chat's prefix.
	Wait time.Duration `cbor:"19,keyasint,omitempty"`
}

// ChatKey returns the key of the dispatch's chat.
func (d *Dispatch) ChatKey() ChatKey {
	return ChatKey{Account: d.Account, Chat: d.Chat}
}

// A Join asks for the answer of an attempt that may have been admitted. Where
// it was not, the agent leaves a tombstone, and the attempt can never run.
type Join struct {
	Account     ryeford.AccountID   `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID   `cbor:"2,keyasint"`
	Incarnation ryeford.Incarnation `cbor:"3,keyasint"`
	Offset      int64               `cbor:"4,keyasint"`
	// Expires and Forget are those of the dispatch that may be under way.
	Expires time.Time `cbor:"5,keyasint"`
	Forget  time.Time `cbor:"6,keyasint"`
	// Peek asks not to leave a tombstone.
	Peek bool `cbor:"7,keyasint,omitempty"`
}

// An Admitted says that an attempt runs, or has run, here.
type Admitted struct {
	Attempt ryeford.AttemptID `cbor:"1,keyasint"`
	// Load is the engine's load before the attempt was admitted.
	Load float64 `cbor:"2,keyasint"`
	// Warm is true where the agent believes the chat's prefix is cached.
	Warm bool `cbor:"3,keyasint,omitempty"`
	// Request is the request that the attempt was first dispatched for.
	Request ryeford.RequestID `cbor:"4,keyasint"`
}

// A Refused says that an attempt did not run, and by this answer never will.
type Refused struct {
	Attempt     ryeford.AttemptID   `cbor:"1,keyasint"`
	Reason      ryeford.Reason      `cbor:"2,keyasint"`
	RetryAfter  time.Duration       `cbor:"3,keyasint"`
	Load        float64             `cbor:"4,keyasint"`
	Engine      ryeford.EngineID    `cbor:"5,keyasint,omitempty"`
	Incarnation ryeford.Incarnation `cbor:"6,keyasint,omitempty"`
	// Bound is the load up to which the engine would have admitted.
	Bound float64 `cbor:"7,keyasint,omitempty"`
	// Unknown is set where the agent can't prove that the attempt did not run.
	Unknown bool `cbor:"8,keyasint,omitempty"`
}

// A Frame is one piece of an answer.
type Frame struct {
	Request     ryeford.RequestID    `cbor:"1,keyasint"`
	Attempt     ryeford.AttemptID    `cbor:"2,keyasint"`
	Offset      int64                `cbor:"3,keyasint"`
	Data        []byte               `cbor:"4,keyasint,omitempty"`
	Finish      ryeford.FinishReason `cbor:"5,keyasint,omitempty"`
	Failure     string               `cbor:"6,keyasint,omitempty"`
	Usage       *ryeford.Usage       `cbor:"7,keyasint,omitempty"`
	Status      int                  `cbor:"8,keyasint,omitempty"`
	ContentType string               `cbor:"9,keyasint,omitempty"`
	Reason      ryeford.Reason       `cbor:"10,keyasint,omitempty"`
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

// A Cancel says that the caller gave the request up.
type Cancel struct{}

// A Watch asks an agent for its inventory, now and at each change.
type Watch struct {
	Router ryeford.VMID `cbor:"1,keyasint"`
}

// An EngineState is what an agent says of one of its engines.
type EngineState struct {
	ID      ryeford.EngineID `cbor:"1,keyasint"`
	Service string           `cbor:"2,keyasint,omitempty"`
	Pools   []ryeford.Pool   `cbor:"3,keyasint,omitempty"`
	Load    float64          `cbor:"4,keyasint"`
}

// An Inventory is what an agent says of itself.
type Inventory struct {
	VM            ryeford.VMID        `cbor:"1,keyasint"`
	Incarnation   ryeford.Incarnation `cbor:"2,keyasint"`
	FailureDomain string              `cbor:"3,keyasint"`
	Leaving       bool                `cbor:"4,keyasint"`
	Engines       []EngineState       `cbor:"5,keyasint"`
}

// A Pull asks a peer for the templates above a revision.
type Pull struct {
	Revision int64 `cbor:"1,keyasint"`
}

// A Delta holds all templates above the asked revision, up to Revision.
type Delta struct {
	Revision  int64              `cbor:"1,keyasint"`
	Templates []ryeford.Template `cbor:"2,keyasint,omitempty"`
}

// A Successors asks a router for the next candidates of chats whose engine
// is leaving.
type Successors struct {
	Pool    ryeford.Pool `cbor:"1,keyasint"`
	Chats   []ChatKey    `cbor:"2,keyasint"`
	Leaving ryeford.VMID `cbor:"3,keyasint"`
}

// A ChatKey names a chat across accounts.
type ChatKey struct {
	Account ryeford.AccountID `cbor:"1,keyasint"`
	Chat    ryeford.ChatID    `cbor:"2,keyasint"`
}

// A Placement is the next candidate of one chat.
type Placement struct {
	Engine  ryeford.EngineID `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint"`
}

// Placements answers Successors, in its order. An empty engine means none.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// An Import hands a chat's KV cache to another engine.
type Import struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Cache  []byte           `cbor:"3,keyasint"`
	Pool   ryeford.Pool     `cbor:"4,keyasint"`
}

// An Explain asks for the decisions on a request.
type Explain struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
}

// Decisions holds the log lines of decisions.
type Decisions struct {
	Lines []string `cbor:"1,keyasint"`
}

// A PullPlan asks for a VM's part of the plan.
type PullPlan struct {
	VM ryeford.VMID `cbor:"1,keyasint"`
}

// A Leave tells an agent that its VM is to stop.
type Leave struct{}

// A Done ends an exchange that has no other answer.
type Done struct{}

// A Gossip is one datagram of the control traffic.
type Gossip struct {
	VM       ryeford.VMID `cbor:"1,keyasint"`
	Revision int64        `cbor:"2,keyasint"`
	// PlanEpoch and PlanSequence name the newest plan the sender knows.
	PlanEpoch    int64 `cbor:"3,keyasint,omitempty"`
	PlanSequence int64 `cbor:"4,keyasint,omitempty"`
	// Loads are the sender's engines' loads (from agents).
	Loads []EngineLoad `cbor:"5,keyasint,omitempty"`
	// Overflows tell a chat's home where the chat was served (from routers).
	Overflows []Overflow `cbor:"6,keyasint,omitempty"`
}

// An Overflow says that an engine other than a chat's home holds its prefix.
type Overflow struct {
	Home   ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Engine ryeford.EngineID `cbor:"3,keyasint"`
}

// An EngineLoad is the load of one engine of a model.
type EngineLoad struct {
	Model string  `cbor:"1,keyasint"`
	Load  float64 `cbor:"2,keyasint"`
}

// A SizeError says that a message is larger than MaxMessageSize.
type SizeError struct {
	Size uint32
}

// Error returns the text of e.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over %d", e.Size, MaxMessageSize)
}

// A MalformedError says that bytes are not a message.
type MalformedError struct {
	Err error
}

// Error returns the text of e.
func (e *MalformedError) Error() string { return "malformed message: " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *MalformedError) Unwrap() error { return e.Err }

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
