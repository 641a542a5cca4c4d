package ryeford

// A FinishReason says why an answer ended. The codes are those of the engines' API.
type FinishReason string

// The finish reasons. All but FinishError end a complete answer.
const (
	FinishStop          FinishReason = "stop"
	FinishLength        FinishReason = "length"
	FinishContentFilter FinishReason = "content_filter"
	FinishError         FinishReason = "error"
)

// A Usage counts the tokens of an answer, as the engine reports them.
type Usage struct {
	PromptTokens int `cbor:"1,keyasint" json:"prompt_tokens"`
	// CachedTokens are those of PromptTokens that the engine had in its cache.
	CachedTokens     int `cbor:"2,keyasint" json:"cached_tokens"`
	CompletionTokens int `cbor:"3,keyasint" json:"completion_tokens"`
}

// A Chunk is one piece of an answer. Chunks of an attempt are numbered from its
// first offset without a gap.
type Chunk struct {
	Attempt AttemptID
	// Offset counts the chunks of the answer before this one, not bytes.
	Offset int64
	Data   []byte
	// Finish is set on the last chunk only.
	Finish FinishReason
	// Failure is the engine's own error text, with FinishError.
	Failure string
	// Reason is the system's own code for a failure, with FinishError.
	Reason Reason
	// NotRun says, with FinishError, that the attempt provably did not run.
	NotRun bool
	// Usage is set on the last chunk of a completion.
	Usage Usage
	// Status and ContentType are set on the first chunk of a service's answer.
	Status      int
	ContentType string
}
