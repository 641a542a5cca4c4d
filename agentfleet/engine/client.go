// Package engine implements HTTP clients for the model engines and services of a VM:
// OpenAI chat completions with server-sent events, the control calls of engines, and
// plain calls of services.
//
// It owns the protocol (protocol.go, shared with the stand-in), the connections, and the
// rule for when an error proves that an attempt did not run (NotRun). It relies on
// engines to number the chunks of a run and to retain a run for Resume.
//
// It uses net/http instead of fasthttp, because a stream must end as soon as its context
// does, and because calls that are not repeatable need a transport that never retries.
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
	"github.com/ryeford/ryeford/internal/httpscan"
	"github.com/ryeford/ryeford/retry"
)

const (
	// controlTimeout limits a control call, which is any call without a streamed answer.
	controlTimeout = 3 * time.Second
	// maxControlBody is the maximum size of the response body of a control call, in
	// bytes. A longer body is truncated: JSON is then malformed, and a KV cache of this
	// size does not fit into a message of package wire anyway.
	maxControlBody = 64 << 20
)

// A Client is a client of one engine and implements ryeford.Engine. Its errors are
// *Error, *ryeford.NotFoundError and *ryeford.FenceError.
type Client struct {
	base    string       // the engine's URL without a path
	streams *http.Client // for streamed answers; opens a new connection for each
	control *http.Client // for control calls; reuses connections
}

// New returns a Client of the engine at an address.
func New(address netip.AddrPort) *Client {
	// Completions don't reuse connections: http.Transport automatically retries a
	// request, but only if a reused connection failed.
	transport := httpscan.Transport{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return &Client{
		base:    "http://" + address.String(),
		streams: &http.Client{Transport: transport},
		control: &http.Client{Transport: httpscan.Transport{Transport: &http.Transport{DisableCompression: true}}},
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

// stream opens a streamed answer. The stream lasts until ctx ends or the reader is closed.
func (c *Client) stream(ctx context.Context, method, path string, header http.Header, body []byte) (ryeford.ChunkReader, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	request.GetBody = nil // prevents the transport from retrying the request
	request.Header = header
	response, err := c.streams.Do(request)
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the body is not read
		return nil, statusError(path, response)
	}
	return newEventReader(response.Body), nil
}

// callJSON makes a control call with JSON bodies. request and response may be nil.
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

// call makes a control call and returns the response body.
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
	defer func() { _ = response.Body.Close() }() // the body has been read
	if response.StatusCode != http.StatusOK {
		return nil, statusError(path, response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBody))
	if err != nil {
		return nil, &Error{Op: path, Err: err}
	}
	return content, nil
}

// An eventReader reads chunks from server-sent events. It implements ryeford.ChunkReader.
type eventReader struct {
	io.Closer
	events *eventstream.Reader
}

func newEventReader(body io.ReadCloser) *eventReader {
	return &eventReader{Closer: body, events: eventstream.NewReader(body)}
}

// Next implements ryeford.ChunkReader. It returns io.EOF only after the end marker of
// the stream. A stream that ends without it is broken.
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

// An Error is a failed call to an engine or a service.
type Error struct {
	Op     string // the failed operation, or the path of the failed call
	Status int    // HTTP status of the response, if there was one
	Err    error  // nil if the call failed because of Status
	// RetryAfter is the back-off that the engine requested in the response, or zero.
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
	return &Error{Op: op, Status: status, RetryAfter: retry.RetryAfter(status, response.Header)}
}

// RetryAfter returns the back-off that an engine requested when a call failed with err,
// or zero if it did not request one.
func RetryAfter(err error) time.Duration {
	if engineErr, ok := errors.AsType[*Error](err); ok {
		return engineErr.RetryAfter
	}
	return 0
}

// NotRun reports whether err, returned by the first call for an attempt, proves that the
// attempt did not run: the connection could not be established, or the engine refused
// the attempt because it is at capacity (429, 503) or does not have the model (404). A
// connection that failed later proves nothing.
//
// The gateway has a different rule: its endpoints state in a header that a request did
// not run, and without the header neither 429, 503 nor 404 proves it.
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
