package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// An Answer is a router's answer to a request. It may be incomplete.
type Answer struct {
	Request   string               `json:"request"`
	Engine    string               `json:"engine"`
	Text      string               `json:"text"`
	Finish    ryeford.FinishReason `json:"finish,omitempty"`
	Complete  bool                 `json:"complete"`
	Usage     ryeford.Usage        `json:"usage"`
	LastEvent string               `json:"last_event,omitempty"`
	Tries     int                  `json:"tries"`
	Failure   *Failure             `json:"failure,omitempty"`

	// FirstToken is the time from the request to the first text. Between holds the times
	// from each text to the next.
	FirstToken time.Duration   `json:"first_token_ns"`
	Between    []time.Duration `json:"-"`
}

// NotRun reports whether the router states that the request did not run.
func (a *Answer) NotRun() bool { return a.Failure != nil && a.Failure.Ran == RunNot }

// newAnswer returns an Answer with the fields that a response's header sets.
func newAnswer(response *http.Response) *Answer {
	// A failure before the first attempt has no such header.
	tries, _ := strconv.Atoi(response.Header.Get(router.HeaderTries))
	return &Answer{
		Request: response.Header.Get(router.HeaderRequest),
		Engine:  response.Header.Get(router.HeaderEngine),
		Tries:   tries,
	}
}

// The values of a Failure's Ran.
const (
	RunNot     = "not_run" // the request provably did not run
	RunUnknown = "unknown" // it may have run
)

// A Failure is the reason why an answer is not complete, as reported by the router in JSON.
type Failure struct {
	Status     int    `json:"status,omitempty"`
	Code       string `json:"code"`
	Message    string `json:"message"`
	Ran        string `json:"ran"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

func (f *Failure) Error() string { return f.Code + " (" + f.Ran + "): " + f.Message }

// isFailure reports whether a response is a failure of the router, as opposed to an error
// response of the service that it called.
func isFailure(response *http.Response, content []byte) bool {
	return response.StatusCode >= 400 && bytes.HasPrefix(content, []byte(`{"error":{`))
}

// newFailure returns the Failure of an error response.
func newFailure(status int, content []byte) *Failure {
	failure := DecodeFailure(content)
	if failure == nil {
		failure = &Failure{Code: "http", Message: http.StatusText(status), Ran: RunUnknown}
	}
	failure.Status = status
	return failure
}

// DecodeFailure returns the Failure in a router's JSON body. It returns nil if there is none,
// as in the response of a proxy between the caller and the router.
func DecodeFailure(content []byte) *Failure {
	var body struct {
		Error Failure `json:"error"`
	}
	if json.Unmarshal(content, &body) != nil || body.Error.Code == "" {
		return nil
	}
	return &body.Error
}

// An eventReader reads server-sent events into an Answer.
type eventReader struct {
	client   *Client
	answer   *Answer
	lastText time.Time // of the request, before the first text
	text     strings.Builder
}

// An eventBody is the data of one event: a chunk of a completion, or the router's failure.
type eventBody struct {
	engine.CompletionChunk
	Error *Failure `json:"error"`
}

func (r *eventReader) read(body io.Reader) error {
	defer func() { r.answer.Text = r.text.String() }()
	events := eventstream.NewReader(body)
	for events.Next() {
		if err := r.add(events.ID, events.Data); err != nil {
			return err
		}
	}
	r.answer.Complete = events.Complete && r.answer.Finish != ""
	return events.Err()
}

// add adds the data of one event to the answer.
func (r *eventReader) add(id, data string) error {
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

// addText adds a text and the time since the previous one.
func (r *eventReader) addText(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if r.text.Len() == 0 {
		r.answer.FirstToken = now.Sub(r.lastText)
	} else {
		r.answer.Between = append(r.answer.Between, now.Sub(r.lastText))
	}
	r.lastText = now
	r.text.WriteString(text)
	if r.client.OnText != nil {
		r.client.OnText(text)
	}
}
