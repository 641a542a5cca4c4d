// Package operator is a client for the routers' API for operators.
//
// It doesn't retry. Package router defines the paths and types of the API. Package caller
// defines the format of a failure, which both APIs share.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
	"github.com/ryeford/ryeford/caller"
)

const (
	// callTimeout limits the time of a call. It exceeds the time of a publish whose writes are
	// repeated because the table is busy.
	callTimeout = 15 * time.Second
	// maxAnswer is the maximum size of an answer in bytes.
	maxAnswer = 64 << 20
)

// A Client calls one router.
type Client struct {
	address netip.AddrPort
	key     string
	http    *http.Client
}

// New returns a Client of the router that serves the API for operators at an address.
func New(address netip.AddrPort, key string) *Client {
	return &Client{address: address, key: key, http: &http.Client{Timeout: callTimeout}}
}

// Publish publishes a template and returns it as accepted.
func (c *Client) Publish(ctx context.Context, t *ryeford.Template) (*ryeford.Template, error) {
	return call[*ryeford.Template](ctx, c, http.MethodPost, router.PathTemplates, t)
}

// Templates returns all templates.
func (c *Client) Templates(ctx context.Context) ([]ryeford.Template, error) {
	return call[[]ryeford.Template](ctx, c, http.MethodGet, router.PathTemplates, nil)
}

// Template returns one template. Its name has the form ACCOUNT/NAME.
func (c *Client) Template(ctx context.Context, name string) (*ryeford.Template, error) {
	return call[*ryeford.Template](ctx, c, http.MethodGet, router.PathTemplates+"/"+name, nil)
}

// History returns the versions of a template, oldest first.
func (c *Client) History(ctx context.Context, name string) ([]ryeford.Template, error) {
	return call[[]ryeford.Template](ctx, c, http.MethodGet, router.PathHistory+name, nil)
}

// StopVM starts a planned stop of a VM and returns the VM's entry.
func (c *Client) StopVM(ctx context.Context, vm ryeford.VMID) (*ryeford.VM, error) {
	return call[*ryeford.VM](ctx, c, http.MethodPost, router.PathVMs+string(vm)+"/stop", nil)
}

// Status returns the router's state and the agents that it is connected to.
func (c *Client) Status(ctx context.Context) (*router.Status, error) {
	return call[*router.Status](ctx, c, http.MethodGet, router.PathStatus, nil)
}

// Explain returns the decisions that were made on a request.
func (c *Client) Explain(ctx context.Context, request ryeford.RequestID) (*router.Explanation, error) {
	return call[*router.Explanation](ctx, c, http.MethodGet, router.PathExplain+string(request), nil)
}

// call sends one request and decodes its answer. A nil request is sent without a body. The error
// is an *Error.
func call[T any](ctx context.Context, c *Client, method, path string, request any) (T, error) {
	var answer T
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return answer, &Error{Address: c.address, Err: err}
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer, &Error{Address: c.address, Err: err}
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return answer, &Error{Address: c.address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer, &Error{Address: c.address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return answer, newStatusError(c.address, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, &Error{Address: c.address, Err: err}
	}
	return answer, nil
}

// An Error reports a failed call.
type Error struct {
	Address netip.AddrPort
	Status  int    // of the answer; zero if there was none
	Code    string // one of the codes listed in docs/interfaces.md
	Message string
	Ran     string // caller.RunNot, caller.RunUnknown, or empty if not stated
	Err     error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("router %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("router %s: %s: %s", e.Address, e.Code, e.Message)
}

func (e *Error) Unwrap() error { return e.Err }

func newStatusError(address netip.AddrPort, status int, content []byte) *Error {
	failure := caller.DecodeFailure(content)
	if failure == nil {
		return &Error{Address: address, Status: status, Code: "internal", Message: http.StatusText(status)}
	}
	return &Error{Address: address, Status: status, Code: failure.Code, Message: failure.Message, Ran: failure.Ran}
}
