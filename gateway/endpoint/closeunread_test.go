package endpoint

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/platform"
)

// TestCloseUnread guards against a caller that waits for a body that nobody needs, and against connections that are not
// used again though that body ends soon.
func TestCloseUnread(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\r\nRyeford-Request-Id: r\r\nRyeford-Not-Run: 1\r\n"
	for name, row := range map[string]struct {
		head, body string
		pause      time.Duration // before the body
		endless    bool          // the body is sent again and again, after a pause each
		cancelled  bool          // the request's context ends before
		idleAfter  time.Duration // until the connection is idle, or 0 if it is closed
	}{
		"no body":                          {head: head + "Content-Length: 0\r\n\r\n", idleAfter: time.Nanosecond},
		"a body that has come":             {head: head + "Content-Length: 4\r\n\r\nbusy", idleAfter: time.Nanosecond},
		"a body that comes":                {head: head + "Content-Length: 4\r\n\r\nb", body: "usy", pause: time.Second, idleAfter: time.Second},
		"chunks that come":                 {head: head + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbusy\r\n0\r\n\r\n", pause: time.Second, idleAfter: time.Second},
		"a body that doesn't come":         {head: head + "Content-Length: 4\r\n\r\nb", pause: time.Hour},
		"chunks without end":               {head: head + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\nbusy\r\n", pause: time.Second, endless: true},
		"chunks that are none":             {head: head + "Transfer-Encoding: chunked\r\n\r\n", body: "x", pause: time.Second},
		"a body that comes after a cancel": {head: head + "Content-Length: 4\r\n\r\nb", body: "usy", pause: time.Second, cancelled: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer time.Sleep(2 * time.Hour) // the endpoint finds its connection closed
				defer func() { _ = near.Close(); _ = far.Close() }()
				go func() {
					if _, err := far.Read(make([]byte, 4096)); err != nil {
						return
					}
					_, err := io.WriteString(far, row.head)
					for first := row.body != ""; err == nil && (first || row.endless); first = false {
						time.Sleep(row.pause)
						_, err = io.WriteString(far, row.body)
					}
				}()
				pool, c := New(platform.Protocol{}), newConnection(near, "e")
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				pool.idle["e"] = []*connection{c}
				response, err := pool.Send(ctx, &ryeford.Endpoint{ID: "e"}, &Request{ID: "r", Method: "POST", Target: "/", Host: "h"}, func() error { return nil })
				assert.NilError(t, err)
				if row.cancelled {
					cancel()
				}
				began := time.Now()
				response.CloseUnread(1 << 20)
				response.Close()
				assert.Equal(t, time.Since(began), time.Duration(0))
				time.Sleep(row.idleAfter)
				synctest.Wait()
				assert.Equal(t, len(pool.idle["e"]) == 1, row.idleAfter > 0)
				if row.idleAfter > 0 {
					return
				}
				time.Sleep(maxRestOfResponse)
				synctest.Wait()
				_, err = near.Write([]byte("x"))
				assert.Equal(t, err, io.ErrClosedPipe, "the connection stays open")
			})
		})
	}
}
