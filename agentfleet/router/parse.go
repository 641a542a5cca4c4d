package router

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// Limits of what a caller may send.
const (
	maxIDLength = 128       // bytes of a chat ID or an idempotency key
	maxMessages = 4096      // of one completion
	maxTokens   = 1 << 20   // that one completion may ask for
	maxDeadline = time.Hour // the maximum of limits.default_deadline
)

const (
	statusKeyReused = fasthttp.StatusUnprocessableEntity
	bearerPrefix    = "Bearer "
)

func (f *forwarder) parseCommon(ctx *fasthttp.RequestCtx, req *request) error {
	if err := f.authenticate(ctx, req); err != nil {
		return err
	}
	header := &ctx.Request.Header
	req.chat = ryeford.ChatID(header.Peek(HeaderChat))
	if req.chat == "" {
		req.chat = ryeford.ChatID(req.id)
	}
	if err := checkID(HeaderChat, string(req.chat)); err != nil {
		return err
	}
	req.key = string(header.Peek(HeaderIdempotencyKey))
	if err := checkID(HeaderIdempotencyKey, req.key); err != nil {
		return err
	}
	var err error
	if req.repeatable, err = parseRepeatable(ctx); err != nil {
		return err
	}
	deadline, err := parseDeadline(ctx, f.limits.DefaultDeadline)
	if err != nil {
		return err
	}
	req.deadline = time.Now().Add(deadline)
	req.digest = claim.Digest(ctx.Method(), ctx.RequestURI(), ctx.PostBody())
	return nil
}

func parseDeadline(ctx *fasthttp.RequestCtx, defaultDeadline time.Duration) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return defaultDeadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return 0, &ryeford.InputError{Field: HeaderDeadline, Problem: "want a duration up to 1h, such as 2s"}
	}
	return d, nil
}

func (f *forwarder) authenticate(ctx *fasthttp.RequestCtx, req *request) error {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), bearerPrefix)
	account, found := f.templateCache.KeyOwner(ryeford.HashKey(key))
	if !ok || !found {
		return &ryeford.InputError{Field: "Authorization", Problem: "want the bearer token of a client account", Status: fasthttp.StatusUnauthorized}
	}
	req.account = account
	return nil
}

// parseRepeatable returns whether the request may run twice. Without the header,
// completions, GET and HEAD may, and other calls of services may not.
func parseRepeatable(ctx *fasthttp.RequestCtx) (bool, error) {
	switch string(ctx.Request.Header.Peek(HeaderRepeatable)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return string(ctx.Path()) == PathCompletions || ctx.IsGet() || ctx.IsHead(), nil
	}
	return false, &ryeford.InputError{Field: HeaderRepeatable, Problem: "want true or false"}
}

// checkID checks an identifier chosen by a caller. An empty one is valid.
func checkID(field, id string) error {
	if len(id) > maxIDLength {
		return &ryeford.InputError{Field: field, Problem: "longer than 128 bytes"}
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '/' {
			return &ryeford.InputError{Field: field, Problem: "want printable ASCII without spaces and slashes"}
		}
	}
	return nil
}

// A completionRequest is the body of a chat completion.
type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []ryeford.Message `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

func (f *forwarder) parseCompletion(ctx *fasthttp.RequestCtx, req *request) error {
	var body completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return &ryeford.InputError{Field: "body", Problem: "not the JSON of a chat completion: " + err.Error()}
	}
	switch {
	case len(body.Messages) == 0:
		return &ryeford.InputError{Field: "messages", Problem: "missing"}
	case len(body.Messages) > maxMessages:
		return &ryeford.InputError{Field: "messages", Problem: "more than 4096"}
	case body.MaxTokens < 0 || body.MaxTokens > maxTokens:
		return &ryeford.InputError{Field: "max_tokens", Problem: "want 1 to 1048576, or none"}
	}
	template, ok := f.templateCache.Find(req.account, body.Model)
	if !ok {
		return &ryeford.InputError{Field: "model", Problem: "no template of the account serves it", Status: fasthttp.StatusNotFound}
	}
	var err error
	if req.priority, err = parsePriority(ctx, template.Priority); err != nil {
		return err
	}
	req.stream = body.Stream
	req.share = template.Share
	req.model = template.Model
	req.completion = &ryeford.Completion{
		Pool:      template.Pool(),
		Priority:  req.priority,
		Messages:  body.Messages,
		MaxTokens: body.MaxTokens,
	}
	return nil
}

// parsePriority returns the requested priority, limited to that of the template.
func parsePriority(ctx *fasthttp.RequestCtx, highest ryeford.Priority) (ryeford.Priority, error) {
	text := string(ctx.Request.Header.Peek(HeaderPriority))
	if text == "" {
		return highest, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || !ryeford.Priority(n).Valid() {
		return 0, &ryeford.InputError{Field: HeaderPriority, Problem: "want 0 to 9"}
	}
	return min(ryeford.Priority(n), highest), nil
}

func (f *forwarder) parseCall(ctx *fasthttp.RequestCtx, req *request) error {
	uri := strings.TrimPrefix(string(ctx.RequestURI()), PathServices)
	name, rest, _ := strings.Cut(uri, "/")
	name, _, _ = strings.Cut(name, "?")
	if f.fleet.service(name) == nil {
		return &ryeford.InputError{Field: "service", Problem: "no such service", Status: fasthttp.StatusNotFound}
	}
	var err error
	if req.priority, err = parsePriority(ctx, ryeford.PriorityHighest); err != nil {
		return err
	}
	req.service = name
	req.model = "service:" + name
	req.share = 1
	req.call = &ryeford.Call{
		Method:      string(ctx.Method()),
		Path:        "/" + rest,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
		Repeatable:  req.repeatable,
	}
	return nil
}

// A request is a parsed request of a caller: a chat completion, a call of a plain
// service, or a resumption of an answer.
type request struct {
	id         ryeford.RequestID
	account    ryeford.AccountID
	chat       ryeford.ChatID // determines the order of engines; the request ID if the caller named none
	priority   ryeford.Priority
	share      float64 // of the account's template, above 0 and up to 1
	repeatable bool    // may safely run twice
	key        string  // the caller's idempotency key
	digest     string  // of method, path and body
	deadline   time.Time
	stream     bool // answer as an event stream

	model string // selects the mean load to admit against

	// Exactly one is set.
	completion *ryeford.Completion
	call       *ryeford.Call

	service string // the target of call
}

// needsClaim reports whether the request needs a claim on its key: it must not run
// twice, and its caller may send it again.
func (req *request) needsClaim() bool { return !req.repeatable && req.key != "" }

// deadlineWithin returns the time after limit from now, or the request's deadline if
// that is earlier.
func (req *request) deadlineWithin(limit time.Duration) time.Time {
	at := time.Now().Add(limit)
	if req.deadline.Before(at) {
		return req.deadline
	}
	return at
}

// An eventID identifies a chunk of an answer and the agent that stores it. It is opaque
// to callers.
type eventID struct {
	candidate claim.Candidate
	attempt   ryeford.AttemptID
	offset    int64
}

func (e *eventID) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", e.candidate.VM, e.candidate.Incarnation, e.attempt, e.offset)
}

func parseEventID(text string) (*eventID, error) {
	parts := strings.Split(text, "/")
	offset, err := strconv.ParseInt(parts[len(parts)-1], 10, 64)
	if len(parts) != 4 || err != nil || offset < 0 {
		return nil, &ryeford.InputError{Field: HeaderLastEventID, Problem: "not the id of an event"}
	}
	return &eventID{
		candidate: claim.Candidate{VM: ryeford.VMID(parts[0]), Incarnation: ryeford.Incarnation(parts[1])},
		attempt:   ryeford.AttemptID(parts[2]),
		offset:    offset,
	}, nil
}
