// Package caller is a client of the routers' interface for callers, as the command
// line and trace replay use it.
//
// It owns the reading of answers and of their failures; it retries nothing. It
// relies on package router for the paths and headers of the interface.
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

// maxIdlePerRouter is how many idle connections are kept to each router, so that a
// replay's turns don't wait for new ones.
const maxIdlePerRouter = 256

// A Client calls routers.
type Client struct {
	http *http.Client
	// OnText is called with each text as it arrives, if it is set.
	OnText func(text string)
	// OnEvent is called with the id of each event, if it is set.
	OnEvent func(id string)
}

// New returns a Client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerRouter}}}
}

// Complete asks a router for a streamed completion. A failure that the router
// states is in the Answer; the error is one of the connection, and then the
// Answer holds what came before it.
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

// Resume asks a router for the rest of an answer after an event.
func (c *Client) Resume(ctx context.Context, address netip.AddrPort, key, lastEvent string) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+router.PathAnswers, nil)
	if err != nil {
		return &Answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(router.HeaderLastEvent, lastEvent)
	return c.stream(request)
}

// CallService calls a plain service with a body and returns its answer's body.
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
		answer.Failure = newFailure(response.StatusCode, content)
		return answer, err
	}
	r := &eventReader{client: c, answer: answer, last: began}
	return answer, r.read(response.Body)
}

// A Turn is one request of a caller: the next turn of a chat, or, without its
// chat's fields, a call of a plain service. What is left out, the router decides.
type Turn struct {
	Key           string // of the client account
	Chat          ryeford.ChatID
	Model         string // or the name of a template
	Messages      []ryeford.Message
	MaxTokens     int
	NotRepeatable bool   // the request must not run more than once
	Idempotency   string // the key under which it runs once, however often it is sent
	Deadline      time.Duration
	Priority      string // 0 (lowest) to 9
}

// A completionBody is the JSON body of a request for a streamed completion.
type completionBody struct {
	MaxTokens int               `json:"max_tokens"`
	Messages  []ryeford.Message `json:"messages"`
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
}

// post returns the request that sends a body of the turn to a router.
func (t *Turn) post(ctx context.Context, address netip.AddrPort, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // or net/http might send it again by itself
	request.Header.Set("Authorization", "Bearer "+t.Key)
	request.Header.Set("Content-Type", "application/json")
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
			request.Header.Set(name, value)
		}
	}
	return request, nil
}
