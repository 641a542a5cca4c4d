// Package tableservice is an HTTP client for the platform services that hold the state of
// a fleet with agents: a transactional table, an object store and the list of VMs.
//
// Its only state is the last list of VMs. It sends each call once. The caller decides
// whether to repeat a failed call; a ryeford.UnavailableError reports whether the call may
// have taken effect.
package tableservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/httpscan"
	"github.com/ryeford/ryeford/internal/transfer"
)

const (
	// maxResponse is the maximum size of a response body, in bytes.
	maxResponse = 64 << 20

	// callTimeout limits how long a call may make no progress (package transfer). It is
	// longer than the latency of a slow store, and shorter than a caller waits.
	callTimeout = 2 * time.Second

	// maxIdleConns is the maximum number of idle connections.
	maxIdleConns = 16
)

// A Client implements ryeford.Table, ryeford.ObjectStore and ryeford.VMList. It is safe
// for concurrent use.
type Client struct {
	base string
	vm   ryeford.VMID
	http *http.Client

	mu      sync.Mutex
	vmsETag string       // of vms
	vms     []ryeford.VM // the last list of VMs
}

// New returns a Client of the platform at an address. vm is the calling VM; it is empty for
// a command that does not run on a VM.
func New(address netip.AddrPort, vm ryeford.VMID) *Client {
	return &Client{
		base: "http://" + address.String(),
		vm:   vm,
		// send prevents the transport from retrying a write, which would hide that the
		// write may have taken effect.
		http: &http.Client{Transport: httpscan.Transport{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}},
	}
}

// Get implements ryeford.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]ryeford.Row, error) {
	var response RowsResponse
	err := c.post(ctx, PathGet, &GetRequest{Keys: keys}, &response, false)
	return response.Rows, err
}

// List implements ryeford.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]ryeford.Row, error) {
	var response RowsResponse
	err := c.post(ctx, PathList, &ListRequest{Prefix: prefix}, &response, false)
	return response.Rows, err
}

// Transact implements ryeford.Table.
func (c *Client) Transact(ctx context.Context, writes ...ryeford.Write) (int64, error) {
	var response TransactResponse
	if err := c.post(ctx, PathTransact, &TransactRequest{Writes: writes}, &response, true); err != nil {
		return 0, err
	}
	if len(response.Conflicts) > 0 {
		return 0, &ryeford.ConflictError{Keys: response.Conflicts}
	}
	return response.Version, nil
}

// GetObject implements ryeford.ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	_, content, err := c.send(ctx, http.MethodGet, PathObjects+url.PathEscape(name), "", nil, false)
	return content, err
}

// PutObject implements ryeford.ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, content []byte) error {
	_, _, err := c.send(ctx, http.MethodPut, PathObjects+url.PathEscape(name), "", content, true)
	return err
}

// VMs implements ryeford.VMList. It sends the ETag of the last list, so that the platform
// does not send an unchanged list again.
func (c *Client) VMs(ctx context.Context) ([]ryeford.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response, body, err := c.send(ctx, http.MethodGet, PathVMs, c.vmsETag, nil, false)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotModified {
		return slices.Clone(c.vms), nil
	}
	var vms []ryeford.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, &ryeford.UnavailableError{Service: PathVMs, Err: err}
	}
	c.vmsETag, c.vms = response.Header.Get("ETag"), vms
	return slices.Clone(vms), nil
}

// PutVM implements ryeford.VMList.
func (c *Client) PutVM(ctx context.Context, vm ryeford.VM) error {
	return c.post(ctx, PathVMs, &vm, nil, true)
}

// post sends a JSON request and decodes the JSON response, unless response is nil.
func (c *Client) post(ctx context.Context, path string, request, response any, write bool) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &ryeford.UnavailableError{Service: path, Err: err}
	}
	_, content, err := c.send(ctx, http.MethodPost, path, "", body, write)
	if err != nil || response == nil {
		return err
	}
	if err := json.Unmarshal(content, response); err != nil {
		return &ryeford.UnavailableError{Service: path, MayHaveApplied: write, Err: err}
	}
	return nil
}

// send makes one HTTP call and returns the response, whose body is closed, and its content.
// If etag is not empty, the platform may respond that the content is not modified. A write
// whose response is lost may have been applied. send fails if the transfer stalls, but does
// not limit the total time.
func (c *Client) send(ctx context.Context, method, path, etag string, body []byte, write bool) (*http.Response, []byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := transfer.NewWatch(0, callTimeout, cancel)
	defer watch.Stop()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &ryeford.UnavailableError{Service: path, Err: err}
	}
	request.GetBody = nil // prevents net/http from sending the body again
	if len(body) > 0 {
		request.Body = io.NopCloser(watch.RequestReader(request.Body))
	}
	request.Header.Set(HeaderVM, string(c.vm))
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, &ryeford.UnavailableError{Service: path, MayHaveApplied: write, Err: err}
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	content, err := io.ReadAll(watch.ResponseReader(io.LimitReader(response.Body, maxResponse+1)))
	if err != nil {
		return nil, nil, &ryeford.UnavailableError{Service: path, MayHaveApplied: write, Err: watch.Interrupted(err)}
	}
	if len(content) > maxResponse {
		return nil, nil, &ryeford.UnavailableError{Service: path, MayHaveApplied: write, Err: &SizeError{}}
	}
	if err := statusError(path, response.StatusCode); err != nil {
		return nil, nil, err
	}
	return response, content, nil
}

// statusError returns the error for an HTTP status, or nil. A call with such a response
// took no effect.
func statusError(path string, status int) error {
	switch status {
	case http.StatusOK, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return &ryeford.NotFoundError{Kind: "object", Name: path}
	}
	return &ryeford.UnavailableError{Service: path, Err: &ryeford.StatusError{Status: status}}
}

// A SizeError reports that a response is larger than maxResponse.
type SizeError struct{}

func (e *SizeError) Error() string { return fmt.Sprintf("answer of more than %d bytes", maxResponse) }

// Paths of the platform's services.
const (
	PathGet      = "/table/get"
	PathList     = "/table/list"
	PathTransact = "/table/transact"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
)

// HeaderVM carries the ID of the calling VM.
const HeaderVM = "X-Ryeford-VM"

// A GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// A RowsResponse is the response to a GetRequest or a ListRequest.
type RowsResponse struct {
	Rows []ryeford.Row `json:"rows"`
}

// A ListRequest asks for the rows with a key prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// A TransactRequest asks for several writes in one transaction.
type TransactRequest struct {
	Writes []ryeford.Write `json:"writes"`
}

// A TransactResponse contains the new version of the rows, or the keys in conflict.
type TransactResponse struct {
	Version   int64    `json:"version,omitempty"`
	Conflicts []string `json:"conflicts,omitempty"`
}
