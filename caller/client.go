// Package caller is a client for the routers' API for callers. The command line and the replay
// of traces use it.
//
// It decodes answers and failures, and doesn't retry. Package router defines the paths and
// headers of the API.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
)

// maxIdlePerRouter is the maximum number of idle connections to each router. It is large enough
// that the concurrent turns of a replay rarely need a new connection.
const maxIdlePerRouter = 256

// A Client calls routers.
type Client struct {
	http *http.Client
	// OnText, if it is set, is called with each text as it arrives.
	OnText func(text string)
	// OnEvent, if it is set, is called with the ID of each event.
	OnEvent func(id string)
}

// New returns a Client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerRouter}}}
}

// Complete requests a streamed completion from a router. A failure that the router reports is
// in the Answer. The error is one of the connection or of decoding; the Answer then holds what
// was received before it.
func (c *Client) Complete(ctx context.Context, address netip.AddrPort, t *Turn) (*Answer, error) {
	body, err := json.Marshal(&completionBody{
		MaxTokens: t.MaxTokens,
		Messages:  t.Messages,
		Model:     t.Model,
		Stream:    true,
	})
	if err != nil {
		return &Answer{}, err
	}
	request, err := t.post(ctx, address, router.PathCompletions, body)
	if err != nil {
		return &Answer{}, err
	}
	return c.stream(request)
}

// Resume requests the rest of an answer, after an event, from a router.
func (c *Client) Resume(ctx context.Context, address netip.AddrPort, key, lastEvent string) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+router.PathAnswers, nil)
	if err != nil {
		return &Answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(router.HeaderLastEventID, lastEvent)
	return c.stream(request)
}

// CallService calls a plain service. The body of its response is the Text of the Answer.
func (c *Client) CallService(ctx context.Context, address netip.AddrPort, path string, t *Turn, body []byte) (*Answer, error) {
	request, err := t.post(ctx, address, router.PathServices+path, body)
	if err != nil {
		return &Answer{}, err
	}
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
		answer.Failure = newFailure(response.StatusCode, content)
		return answer, nil
	}
	answer.Text = string(content)
	answer.Complete = true
	return answer, nil
}

// stream sends a request and reads the answer's events.
func (c *Client) stream(request *http.Request) (*Answer, error) {
	start := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return &Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := newAnswer(response)
	if response.StatusCode != http.StatusOK {
		content, err := io.ReadAll(response.Body)
		answer.Failure = newFailure(response.StatusCode, content)
		return answer, err
	}
	r := &eventReader{client: c, answer: answer, lastText: start}
	return answer, r.read(response.Body)
}

// A Turn is one request of a caller: the next turn of a chat or, without the fields of a chat, a
// call of a plain service. The router chooses defaults for empty fields.
type Turn struct {
	Key            string // of the client account
	Chat           ryeford.ChatID
	Model          string // or the name of a template
	Messages       []ryeford.Message
	MaxTokens      int
	NotRepeatable  bool   // the request must not run more than once
	IdempotencyKey string // the idempotency key: the request runs once even if it is sent again
	Deadline       time.Duration
	Priority       string // 0 (lowest) to 9
}

// A completionBody is the JSON body of a request for a streamed completion.
type completionBody struct {
	MaxTokens int               `json:"max_tokens"`
	Messages  []ryeford.Message `json:"messages"`
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
}

// post returns a POST request with the turn's headers and a body.
func (t *Turn) post(ctx context.Context, address netip.AddrPort, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents net/http from resending the request
	request.Header.Set("Authorization", "Bearer "+t.Key)
	request.Header.Set("Content-Type", "application/json")
	optional := map[string]string{
		router.HeaderChat:           string(t.Chat),
		router.HeaderIdempotencyKey: t.IdempotencyKey,
		router.HeaderPriority:       t.Priority,
	}
	if t.NotRepeatable {
		optional[router.HeaderRepeatable] = "false"
	}
	if t.Deadline > 0 {
		optional[router.HeaderDeadline] = t.Deadline.String()
	}
	for name, value := range optional {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}
