//go:build review

package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of the pages that the stand-ins use.
const (
	headerID       = "Ryeford-Request-Id"
	headerExpect   = "Ryeford-Expect-Instance"
	headerStamp    = "Ryeford-Server-Stamp"
	headerInstance = "Ryeford-Instance-Id"
	headerDeadline = "Ryeford-Deadline-Ms"
)

// newRequest returns a client's request to a gateway.
func newRequest(ctx context.Context, g *gateway, path, id string, deadline time.Duration, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // net/http sends no request twice
	request.Host = requestHost
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+requestKey)
	return request, nil
}

// An answer is what a client got for one request.
type answer struct {
	status int // zero if no head arrived
	stamp  string
	body   []byte
	err    error // the answer is missing or incomplete
}

// exchange sends a request and reads the whole answer.
func exchange(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get(headerStamp), body: body, err: err}
}
