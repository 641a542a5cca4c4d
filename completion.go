package ryeford

// A Message is one message of a chat.
type Message struct {
	Role    string `cbor:"1,keyasint" json:"role"`
	Content string `cbor:"2,keyasint" json:"content"`
}

// A Completion is what an engine is asked to run.
type Completion struct {
	Attempt  AttemptID `cbor:"1,keyasint"`
	Pool     Pool      `cbor:"2,keyasint"`
	Priority Priority  `cbor:"3,keyasint"`
	Messages []Message `cbor:"4,keyasint"`
	// MaxTokens bounds the answer; zero leaves the bound to the engine.
	MaxTokens int `cbor:"5,keyasint,omitempty"`
	// Prefix is text of the answer that the caller already has; the engine
	// continues after it.
	Prefix string `cbor:"6,keyasint,omitempty"`
}

// A Call is a call of a plain service.
type Call struct {
	Attempt     AttemptID `cbor:"1,keyasint"`
	Method      string    `cbor:"2,keyasint"`
	Path        string    `cbor:"3,keyasint"` // with the query, as the caller wrote it
	ContentType string    `cbor:"4,keyasint,omitempty"`
	Body        []byte    `cbor:"5,keyasint,omitempty"`
	// Repeatable says that the caller allows the call to run more than once.
	Repeatable bool `cbor:"6,keyasint"`
}
