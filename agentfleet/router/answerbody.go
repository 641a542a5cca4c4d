package router

import (
	"time"

	"github.com/ryeford/ryeford"
)

// An answerBody is the JSON of a whole completion, or of one event of a streamed one.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *ryeford.Usage `json:"usage,omitempty"`
}

// An answerChoice is the one choice of an answer: Message of a whole one, Delta
// of a streamed one.
type answerChoice struct {
	Index        int              `json:"index"`
	Message      *ryeford.Message `json:"message,omitempty"`
	Delta        *answerDelta     `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type answerDelta struct {
	Content string `json:"content,omitempty"`
}

// newAnswerBody returns an answer with one choice. If last is set, the choice ends as
// that chunk says.
func newAnswerBody(x *exchange, object string, choice answerChoice, last *ryeford.Chunk) *answerBody {
	body := &answerBody{
		ID:      string(x.request.id),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   x.request.model,
	}
	if last != nil {
		finish := string(last.Finish)
		choice.FinishReason = &finish
		body.Usage = &last.Usage
	}
	body.Choices = []answerChoice{choice}
	return body
}
