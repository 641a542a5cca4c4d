// Package endpoint sends requests to endpoints over HTTP/1.1 and keeps the
// connections to them. Each request is written to one connection, once.
//
// An attempt ends in one of three ways, and the type of its error is what it proves:
//
//   - *UnsentError: the endpoint got nothing of the request, which did not run.
//   - *LostError: the request was sent, whole or in part, and no usable response
//     came. It may have run.
//   - no error: the head of the endpoint's own response to this request. What it
//     says of the request is the caller's to judge; the body may still be lost.
//
// When a connection is used again stands with Response.Close and Pool.idleConnection.
//
// The package owns the idle connections. It relies on the ryeford.Protocol for the
// ID, the signature and the load in a response's header, and on net/http's codec to
// read responses. net/http's client is not used: it repeats requests on its own, and
// takes whatever response comes for the one to its request.
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
	// defaultMaxIdle is how long a connection may be idle if the endpoint does not
	// say.
	defaultMaxIdle = 4 * time.Second
	// idleMargin is taken off the time that the endpoint states, so that a request
	// does not cross the endpoint's close. Endpoints round that time to seconds.
	idleMargin = 700 * time.Millisecond
	// onceMaxIdle is how long a connection that was used last may be idle before it is not taken
	// for a request that must not be sent again, and for how long it is kept after one: it may
	// have gone silent meanwhile, which nothing shows until a request is lost on it. With
	// a new one for each request a handshake takes a slot's time in a crowd: at 30 times the
	// traffic of a service of 15 ms 0.937 of its requests were answered in time, 0.965 so.
	onceMaxIdle = 100 * time.Millisecond
	// maxIdlePerEndpoint is how many idle connections are kept to one endpoint.
	maxIdlePerEndpoint = 16
)

// A Pool sends requests to endpoints and holds the idle connections to them. It may
// be used concurrently.
type Pool struct {
	protocol ryeford.Protocol

	mu   sync.Mutex
	idle map[ryeford.EndpointID][]*connection // the last one was used last
}

// New returns an empty Pool.
func New(protocol ryeford.Protocol) *Pool {
	return &Pool{
		protocol: protocol,
		idle:     make(map[ryeford.EndpointID][]*connection),
	}
}

// idleConnection takes the connection to an endpoint that was used last, provided
// that its time is not over and that nothing has arrived on it since. It returns nil
// if there is none, and closes those that it finds unfit. If it is for a request that must not
// be sent again, it was used lately.
func (p *Pool) idleConnection(id ryeford.EndpointID, once bool) *connection {
	now, resumed := clock.Now(), clock.Woke()
	usedSince := time.Time{}
	if once {
		usedSince = now.Add(-onceMaxIdle)
	}
	for c := p.pop(id, usedSince); c != nil; c = p.pop(id, usedSince) {
		// One that was open in a suspension of the machine may have gone silent meanwhile.
		if now.Before(c.idleUntil) && !c.usedAt.Before(resumed) && c.nothingReceived() {
			return c
		}
		c.close()
	}
	return nil
}

// pop takes the idle connection to an endpoint that was used last, or returns nil if none was
// used since a time.
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

// put makes a connection idle after a response. It closes one on which bytes are left over, which
// belong to no request, or which the endpoint does not leave open for long enough.
func (p *Pool) put(c *connection) {
	if c.reader.Buffered() > 0 || c.maxIdle <= 0 || c.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.usedAt = clock.Now()
	c.idleUntil = c.usedAt.Add(c.maxIdle)
	p.putBack(c)
}

// putBack makes a connection idle on which nothing was sent since it was opened or taken.
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

// CloseUnused closes the idle connections to an endpoint on which no response has ended since
// a time. Those that were used since are not silent: in a crowd, in which many requests are
// late, closing them as well would cost each a handshake.
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

// CloseExpired closes the connections that have been idle for too long.
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
