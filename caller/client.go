// Package caller is a client of the routers' interface for callers, as the
// command line and trace replay use it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
)

const maxEventSize = 1 << 20

// A Turn is what a caller asks.
type Turn struct {
	Key           string // of the client account
	Chat          ryeford.ChatID
	Model         string
	Messages      []ryeford.Message
	MaxTokens     int
	NotRepeatable bool
	Idempotency   string
	Deadline      time.Duration
	Priority      string
}

// A Failure is why an answer is not complete.
type Failure struct {
	Status     int    `json:"status,omitempty"`
	Code       string `json:"code"`
	Message    string `json:"message"`
	Ran        string `json:"ran"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// Error returns the text of f.
func (f *Failure) Error() string { return f.Code + " (" + f.Ran + "): " + f.Message }

// An Answer is what came back.
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

	// FirstToken is the time to the first text, Between the times between
	// texts.
	FirstToken time.Duration   `json:"first_token_ns"`
	Between    []time.Duration `json:"-"`
}

// A Client calls routers.
type Client struct {
	http *http.Client
	// OnText is called with each text as it comes, where it is set.
	OnText func(text string)
	// OnEvent is called with the id of each event, where it is set.
	OnEvent func(id string)
}

// New returns a Client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Complete asks a router for a streamed completion. A failure that the router
// states is in the Answer; the error is one of the connection, and then the
// Answer holds what came before it.
func (c *Client) Complete(ctx context.Context, address netip.AddrPort, t *Turn) (*Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model":      t.Model,
		"messages":   t.Messages,
		"stream":     true,
		"max_tokens": t.MaxTokens,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+router.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	t.setHeaders(request.Header)
	return c.stream(request)
}

// Resume asks a router for the rest of an answer behind an event.
func (c *Client) Resume(ctx context.Context, address netip.AddrPort, key, lastEvent string) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+router.PathAnswers, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(router.HeaderLastEvent, lastEvent)
	return c.stream(request)
}

// CallService calls a plain service with a body and returns its answer's body.
func (c *Client) CallService(ctx context.Context, address netip.AddrPort, path string, t *Turn, body []byte) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+router.PathServices+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	t.setHeaders(request.Header)
	response, err := c.http.Do(request)
	if err != nil {
		return &Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := newAnswer(response)
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if isFailure(response, content) {
		answer.Failure = parseFailure(response.StatusCode, content)
		return answer, nil
	}
	answer.Text = string(content)
	answer.Complete = true
	return answer, nil
}

// setHeaders sets the headers of a turn.
func (t *Turn) setHeaders(header http.Header) {
	header.Set("Authorization", "Bearer "+t.Key)
	header.Set("Content-Type", "application/json")
	optional := map[string]string{
		router.HeaderChat:     string(t.Chat),
		router.HeaderKey:      t.Idempotency,
		router.HeaderPriority: t.Priority,
	}
	if t.NotRepeatable {
		optional[router.HeaderRepeatable] = "false"
	}
	if t.Deadline > 0 {
		optional[router.HeaderDeadline] = t.Deadline.String()
	}
	for name, value := range optional {
		if value != "" {
			header.Set(name, value)
		}
	}
}

// stream makes a request and reads the answer's events.
func (c *Client) stream(request *http.Request) (*Answer, error) {
	began := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return &Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := newAnswer(response)
	if response.StatusCode != http.StatusOK {
		content, err := io.ReadAll(response.Body)
		answer.Failure = parseFailure(response.StatusCode, content)
		return answer, err
	}
	r := &eventReader{client: c, answer: answer, last: began}
	return answer, r.read(response.Body)
}

// newAnswer returns the Answer that a response's headers begin.
func newAnswer(response *http.Response) *Answer {
	tries, _ := strconv.Atoi(response.Header.Get(router.HeaderTries))
	return &Answer{
		Request: response.Header.Get(router.HeaderRequest),
		Engine:  response.Header.Get(router.HeaderEngine),
		Tries:   tries,
	}
}

// isFailure reports whether a response is the router's own failure.
func isFailure(response *http.Response, content []byte) bool {
	return response.StatusCode >= 400 && bytes.HasPrefix(content, []byte(`{"error":{`))
}

// parseFailure returns the failure of a JSON body.
func parseFailure(status int, content []byte) *Failure {
	var body struct {
		Error Failure `json:"error"`
	}
	if json.Unmarshal(content, &body) != nil || body.Error.Code == "" {
		body.Error = Failure{Code: "http", Message: http.StatusText(status), Ran: "unknown"}
	}
	body.Error.Status = status
	return &body.Error
}

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

// take takes the data of one event.
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
		r.noteText(choice.Delta.Content)
		if choice.FinishReason != "" {
			r.answer.Finish = choice.FinishReason
		}
	}
	return nil
}

// noteText notes a text and when it came.
func (r *eventReader) noteText(text string) {
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
