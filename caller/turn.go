package caller

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/router"
)

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
