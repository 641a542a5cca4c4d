package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
)

// maxEventSize is the longest line of an event stream, in bytes. Not measured.
const maxEventSize = 1 << 20

// An eventReader reads server-sent events into an Answer.
type eventReader struct {
	client *Client
	answer *Answer
	last   time.Time
	text   strings.Builder
	id     string
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
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventSize)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch {
		case name == "id":
			r.id = value
		case name == "data" && value == "[DONE]":
			r.answer.Complete = r.answer.Finish != ""
			return nil
		case name == "data":
			if err := r.take(value); err != nil {
				return err
			}
		}
	}
	return scanner.Err()
}

// take adds the data of one event to the answer.
func (r *eventReader) take(data string) error {
	var body eventBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	if body.Error != nil {
		r.answer.Failure = body.Error
		return nil
	}
	r.answer.LastEvent = r.id
	if r.client.OnEvent != nil {
		r.client.OnEvent(r.id)
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
