// Package endpoint sends requests to endpoints over HTTP/1.1 and pools the connections to them. Each request is
// written to one connection, once.
//
// The type of the error states what an attempt proves:
//
//   - *UnsentError: the endpoint received nothing of the request, which did not run.
//   - *LostError: the request was sent, in full or in part, and got no usable response. It may have run.
//   - no error: the endpoint responded to this request, and the head of the response was read. The caller
//     interprets it; the body may still be lost.
//
// Response.Close and Pool.idleConnection state when a connection is reused.
//
// The package owns the idle connections. The ryeford.Protocol parses the request ID, the signature and the load
// from a response's header, and net/http's codec reads responses. The package does not use net/http's client,
// which retries requests by itself and does not verify that a response belongs to its request.
package endpoint

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// defaultMaxIdle is how long a connection may be idle if the endpoint states no limit.
	defaultMaxIdle = 4 * time.Second
	// idleMargin is subtracted from the idle time that the endpoint states, so that no request is sent
	// while the endpoint closes the connection. Endpoints round that time to seconds.
	idleMargin = 700 * time.Millisecond
	// notRepeatableMaxIdle is how long a connection may be idle before it is no longer used for a request that
	// must not be sent again, and how long it is kept after one. A connection that was idle longer may
	// be broken without notice. A shorter limit would cost such requests a handshake each,
	// which takes a slot's time at the endpoint: in a crowd fewer are then answered in time.
	notRepeatableMaxIdle = 100 * time.Millisecond
	// maxRestOfRequest is how long an endpoint may take to read the rest of a request after its response.
	maxRestOfRequest = 3 * time.Second
	// maxRestOfResponse is how long an endpoint may take to send the rest of a response that is not needed.
	maxRestOfResponse = 3 * time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// A Pool sends requests to endpoints and holds the idle connections to them. It is safe for concurrent use.
type Pool struct {
	protocol ryeford.Protocol

	mu   sync.Mutex
	idle map[ryeford.EndpointID][]*connection // in order of use, the last is the most recent
}

// New returns an empty Pool.
func New(protocol ryeford.Protocol) *Pool {
	return &Pool{
		protocol: protocol,
		idle:     make(map[ryeford.EndpointID][]*connection),
	}
}

// idleConnection takes the most recently used idle connection to an endpoint that has not expired and has no
// pending input, or returns nil. It closes unusable connections that it finds. notRepeatable reports that the
// connection is for a request that must not be sent again; it must then have been used within
// notRepeatableMaxIdle.
func (p *Pool) idleConnection(id ryeford.EndpointID, notRepeatable bool) *connection {
	now, resumed := clock.Now(), clock.ResumedAt()
	usedSince := time.Time{}
	if notRepeatable {
		usedSince = now.Add(-notRepeatableMaxIdle)
	}
	for c := p.pop(id, usedSince); c != nil; c = p.pop(id, usedSince) {
		// A connection from before a suspension of the VM may be broken without notice.
		if now.Before(c.idleUntil) && !c.usedAt.Before(resumed) && c.nothingReceived() {
			return c
		}
		c.close()
	}
	return nil
}

// pop takes the most recently used idle connection to an endpoint, or returns nil if none was used at or after
// usedSince.
func (p *Pool) pop(id ryeford.EndpointID, usedSince time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	last := len(list) - 1
	if last < 0 || list[last].usedAt.Before(usedSince) {
		return nil
	}
	p.idle[id] = list[:last]
	return list[last]
}

// awaitWritten makes a connection idle, whose response has ended, once its endpoint has read the rest of the request.
// It closes the connection if that takes too long.
func (p *Pool) awaitWritten(c *connection, write *requestWrite) {
	_ = c.SetWriteDeadline(time.Now().Add(maxRestOfRequest)) // fails only on a closed connection, whose writes end anyway
	<-write.done
	p.putWritten(c, write)
}

// awaitRead closes a response once the rest of its body, of at most limit bytes, has been read, or if that takes too long.
func (p *Pool) awaitRead(response *Response, limit int64) {
	_ = response.connection.SetReadDeadline(time.Now().Add(maxRestOfResponse)) // fails only on a closed connection
	response.Discard(limit)
	response.Close()
}

// putWritten makes a connection idle after a response, if the request was written in full. Otherwise it closes the
// connection.
func (p *Pool) putWritten(c *connection, write *requestWrite) {
	if write.err != nil {
		c.close()
		return
	}
	c.awaitAcks(false)
	p.put(c)
}

// put makes a connection idle after a response. It closes the connection if bytes are left over, which belong to
// no request, or if the endpoint allows no idle time.
func (p *Pool) put(c *connection) {
	if c.reader.Buffered() > 0 || c.maxIdle <= 0 || c.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.usedAt = clock.Now()
	c.idleUntil = c.usedAt.Add(c.maxIdle)
	p.putBack(c)
}

// putBack makes a connection idle on which nothing was sent since it was opened or taken from the pool.
func (p *Pool) putBack(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.endpoint]) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(id ryeford.EndpointID) {
	for c := p.pop(id, time.Time{}); c != nil; c = p.pop(id, time.Time{}) {
		c.close()
	}
}

// CloseUnused closes the idle connections to an endpoint on which no response has ended since a time.
// Connections with a later response are known to work and are kept, to avoid handshakes under load.
func (p *Pool) CloseUnused(id ryeford.EndpointID, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := func(c *connection) bool { return c.usedAt.Before(since) }
	for _, c := range p.idle[id] {
		if unused(c) {
			c.close()
		}
	}
	p.idle[id] = slices.DeleteFunc(p.idle[id], unused)
}

// CloseExpired closes the connections that have exceeded their idle time.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := func(c *connection) bool { return !now.Before(c.idleUntil) }
	for id, list := range p.idle {
		for _, c := range list {
			if expired(c) {
				c.close()
			}
		}
		p.idle[id] = slices.DeleteFunc(list, expired)
	}
	maps.DeleteFunc(p.idle, func(_ ryeford.EndpointID, list []*connection) bool { return len(list) == 0 })
}
