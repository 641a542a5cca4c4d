package caller

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// An eventReader reads server-sent events into an Answer.
type eventReader struct {
	client *Client
	answer *Answer
	last   time.Time
	text   strings.Builder
}

// An eventBody is the data of one event.
type eventBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason ryeford.FinishReason `json:"finish_reason"`
	} `json:"choices"`
	Usage *ryeford.Usage `json:"usage"`
	Error *Failure       `json:"error"`
}

// read reads all events.
func (r *eventReader) read(body io.Reader) error {
	defer func() { r.answer.Text = r.text.String() }()
	events := eventstream.NewReader(body)
	for events.Next() {
		if err := r.take(events.ID, events.Data); err != nil {
			return err
		}
	}
	r.answer.Complete = events.Complete && r.answer.Finish != ""
	return events.Err()
}

// take adds the data of one event to the answer.
func (r *eventReader) take(id, data string) error {
	var body eventBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	if body.Error != nil {
		r.answer.Failure = body.Error
		return nil
	}
	r.answer.LastEvent = id
	if r.client.OnEvent != nil {
		r.client.OnEvent(id)
	}
	if body.Usage != nil {
		r.answer.Usage = *body.Usage
	}
	for _, choice := range body.Choices {
		r.addText(choice.Delta.Content)
		if choice.FinishReason != "" {
			r.answer.Finish = choice.FinishReason
		}
	}
	return nil
}

// addText adds a text, and the time that it took.
func (r *eventReader) addText(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if r.text.Len() == 0 {
		r.answer.FirstToken = now.Sub(r.last)
	} else {
		r.answer.Between = append(r.answer.Between, now.Sub(r.last))
	}
	r.last = now
	r.text.WriteString(text)
	if r.client.OnText != nil {
		r.client.OnText(text)
	}
}
