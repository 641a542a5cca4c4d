// Package engine reaches the model engines and services of a VM over HTTP: OpenAI's
// chat completions with server-sent events, the engines' own control calls, and the
// plain calls of services.
//
// It owns the protocol (protocol.go, which the stand-in shares), the connections,
// and the rule of what an error proves (NotRun). It relies on an engine to number
// the chunks of a run and to keep a run for Resume.
//
// It uses net/http and not fasthttp, since a stream has to end at the moment
// its context does, and since calls that may not be repeated need a transport
// that never repeats one.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
	"github.com/ryeford/ryeford/retry"
)

const (
	// controlTimeout bounds a call that is not a completion.
	controlTimeout = 3 * time.Second
	// maxControlBody bounds the body of its response, in bytes. A longer one is cut
	// off: JSON is then malformed, and a KV cache is too large for a message of
	// package wire anyway.
	maxControlBody = 64 << 20
)

// A Client is a ryeford.Engine. Its errors are *Error, *ryeford.NotFoundError and
// *ryeford.FenceError.
type Client struct {
	base    string       // the engine's URL without a path
	streams *http.Client // for streamed answers: a new connection for each
	control *http.Client // for the short calls: keeps its connections
}

// New returns a Client of the engine at an address.
func New(address netip.AddrPort) *Client {
	// Connections are not reused for completions: http.Transport repeats a request
	// by itself, but only after a reused connection broke.
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		base:    "http://" + address.String(),
		streams: &http.Client{Transport: transport},
		control: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// Complete implements ryeford.Engine.
func (c *Client) Complete(ctx context.Context, chat ryeford.ChatID, completion *ryeford.Completion) (ryeford.ChunkReader, error) {
	body, err := json.Marshal(&CompletionRequest{
		Model:     completion.Pool.String(),
		Messages:  completion.Messages,
		Stream:    true,
		MaxTokens: completion.MaxTokens,
		Priority:  int(completion.Priority),
		Prefix:    completion.Prefix,
	})
	if err != nil {
		return nil, &Error{Op: "complete", Err: err}
	}
	header := http.Header{
		"Content-Type": {"application/json"},
		HeaderAttempt:  {string(completion.Attempt)},
		HeaderChat:     {string(chat)},
	}
	if !completion.Admitted.IsZero() {
		header.Set(HeaderStart, FormatStart(completion.Admitted))
	}
	return c.stream(ctx, http.MethodPost, PathCompletions, header, body)
}

// Resume implements ryeford.Engine.
func (c *Client) Resume(ctx context.Context, attempt ryeford.AttemptID, offset int64) (ryeford.ChunkReader, error) {
	header := http.Header{HeaderLastEvent: {EventID(attempt, offset-1)}}
	return c.stream(ctx, http.MethodGet, attemptPath(attempt), header, nil)
}

// Cancel implements ryeford.Engine.
func (c *Client) Cancel(ctx context.Context, attempt ryeford.AttemptID) error {
	return c.callJSON(ctx, http.MethodDelete, attemptPath(attempt), nil, nil)
}

// CacheEvents implements ryeford.Engine.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]ryeford.CacheEvent, error) {
	var events []ryeford.CacheEvent
	err := c.callJSON(ctx, http.MethodGet, PathEvents+"?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// ExportCache implements ryeford.Engine.
func (c *Client) ExportCache(ctx context.Context, chat ryeford.ChatID) ([]byte, error) {
	return c.call(ctx, http.MethodGet, PathCache+url.PathEscape(string(chat)), nil)
}

// ImportCache implements ryeford.Engine.
func (c *Client) ImportCache(ctx context.Context, chat ryeford.ChatID, cache []byte) error {
	_, err := c.call(ctx, http.MethodPut, PathCache+url.PathEscape(string(chat)), cache)
	return err
}

// Serving implements ryeford.Engine.
func (c *Client) Serving(ctx context.Context) (ryeford.Order, error) {
	var order ryeford.Order
	err := c.callJSON(ctx, http.MethodGet, PathServing, nil, &order)
	return order, err
}

// Order implements ryeford.Engine.
func (c *Client) Order(ctx context.Context, order ryeford.Order) error {
	return c.callJSON(ctx, http.MethodPost, PathServing, &order, nil)
}

// stream opens a streamed answer. It lasts until ctx ends or the reader is closed.
func (c *Client) stream(ctx context.Context, method, path string, header http.Header, body []byte) (ryeford.ChunkReader, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	request.GetBody = nil // so that no transport can send it again
	request.Header = header
	response, err := c.streams.Do(request)
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // nothing of it is read
		return nil, statusError(path, response)
	}
	return newEventReader(response.Body), nil
}

// callJSON makes a short call with JSON bodies; request and answer may be nil.
func (c *Client) callJSON(ctx context.Context, method, path string, request, response any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return &Error{Op: path, Err: err}
		}
	}
	content, err := c.call(ctx, method, path, body)
	if err != nil || response == nil {
		return err
	}
	if err := json.Unmarshal(content, response); err != nil {
		return &Error{Op: path, Err: err}
	}
	return nil
}

// call makes a short call and returns the body of the response.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	response, err := c.control.Do(request)
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	defer func() { _ = response.Body.Close() }() // all that counts of it has been read
	if response.StatusCode != http.StatusOK {
		return nil, statusError(path, response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBody))
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	return content, nil
}

// An eventReader is a ryeford.ChunkReader of server-sent events.
type eventReader struct {
	io.Closer
	events *eventstream.Reader
}

func newEventReader(body io.ReadCloser) *eventReader {
	return &eventReader{Closer: body, events: eventstream.NewReader(body)}
}

// Next implements ryeford.ChunkReader. Only the end marker ends a stream with
// io.EOF: a stream that just stops is broken.
func (r *eventReader) Next() (ryeford.Chunk, error) {
	if r.events.Next() {
		return parseChunk(r.events.ID, r.events.Data)
	}
	if r.events.Complete {
		return ryeford.Chunk{}, io.EOF
	}
	if err := r.events.Err(); err != nil {
		return ryeford.Chunk{}, &Error{Op: "read stream", Err: err}
	}
	return ryeford.Chunk{}, &Error{Op: "read stream", Err: io.ErrUnexpectedEOF}
}

func parseChunk(id, data string) (ryeford.Chunk, error) {
	attempt, offset, err := ParseEventID(id)
	if err != nil {
		return ryeford.Chunk{}, err
	}
	var event CompletionChunk
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return ryeford.Chunk{}, &Error{Op: "read event", Err: err}
	}
	chunk := ryeford.Chunk{Attempt: attempt, Offset: offset}
	if event.Usage != nil {
		chunk.Usage = *event.Usage
	}
	switch {
	case event.Error != nil:
		chunk.Finish = ryeford.FinishError
		chunk.Failure = event.Error.Message
	case len(event.Choices) > 0:
		chunk.Data = []byte(event.Choices[0].Delta.Content)
		chunk.Finish = event.Choices[0].FinishReason
	}
	return chunk, nil
}

// An Error is a failed call of an engine or a service.
type Error struct {
	Op     string // what failed; the path of a call
	Status int    // the HTTP status, if there was a response
	Err    error  // nil if the status is the failure
	// Rest is for how long an engine that is full wants no requests; zero if it doesn't say.
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine: %s: status %d", e.Op, e.Status)
	}
	return fmt.Sprintf("engine: %s: %v", e.Op, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

func statusError(op string, response *http.Response) error {
	status := response.StatusCode
	switch status {
	case http.StatusNotFound:
		return &ryeford.NotFoundError{Kind: "engine resource", Name: op}
	case http.StatusPreconditionFailed:
		return &ryeford.FenceError{}
	}
	return &Error{Op: op, Status: status, RetryAfter: retry.Rest(status, response.Header)}
}

// RestOf returns for how long an engine whose call failed with err wants no requests; zero if it doesn't say.
func RetryAfter(err error) time.Duration {
	if engineErr, ok := errors.AsType[*Error](err); ok {
		return engineErr.RetryAfter
	}
	return 0
}

// NotRun reports whether err, of the first call of an attempt, proves that the
// attempt did not run: the connection was not made, or the engine refused it
// because it is full (429, 503) or does not know the model (404). A connection that
// broke later proves nothing.
//
// The gateway's rule only looks the same: its endpoints state in a header that a
// request did not run, and neither 429, 503 nor 404 proves it without that.
func NotRun(err error) bool {
	if netErr, ok := errors.AsType[*net.OpError](err); ok && netErr.Op == "dial" {
		return true
	}
	if _, ok := errors.AsType[*ryeford.NotFoundError](err); ok {
		return true
	}
	engineErr, ok := errors.AsType[*Error](err)
	return ok &&
		(engineErr.Status == http.StatusServiceUnavailable || engineErr.Status == http.StatusTooManyRequests)
}
