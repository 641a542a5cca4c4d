//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

func init() { cases["extra"] = playExtra }

// The load and the disruption are those of the site skriptorij-rye: the class client-profile, and garble
// with how = "extra late", share = 0.6, x = 0.03, for_s = 5.0.
const (
	profileCallers = 6
	profileWork    = 60 * time.Millisecond
	profilePause   = 180 * time.Millisecond // between two requests of a caller
	profileLength  = 28 * time.Second
	garbleFrom     = 2 * time.Second // the first time
	garbleFor      = 5 * time.Second
	garbleInterval = 9 * time.Second
	garbleTimes    = 3
	garbleShare    = 0.03 // of the answers
	errorShare     = 0.14 // of the answers are 500, at all times
	// extraDelay is the time from an answer to the extra one.
	extraDelay = 15 * time.Millisecond
)

// playExtra plays a service with one server. Some of its answers are 500, and while it is disrupted it
// sends an extra answer after some of these: it reports a failure, goes on, and answers again.
func playExtra(r *record, trouble bool) (verdict, error) {
	p := &profileServer{record: r, trouble: trouble, random: rand.New(rand.NewSource(77)), bodies: make(map[string]map[string]bool)}
	var err error
	if p.rawServer, err = newRawServer("i-desk01", p.serveProfile); err != nil {
		return verdict{}, err
	}
	store, err := newStore(newConfiguration(wire.Route{
		Name: "client-profile", Prefix: "/profile/", Kind: wire.KindIdempotent, TimeoutMs: 2000, GoalMs: 300, MaxAttempts: 2, Service: "scriptdesk",
	}))
	if err != nil {
		return verdict{}, err
	}
	if err := store.list(p.id, "scriptdesk", p.address, profileCallers); err != nil {
		return verdict{}, err
	}
	g, err := newGateway(r, store.address, 52)
	if err != nil {
		return verdict{}, err
	}
	p.began = time.Now()
	var callers sync.WaitGroup
	for n := range profileCallers {
		callers.Go(func() { p.call(g, n) })
	}
	callers.Wait()
	r.add("%d requests, %d answers of the server, %d of them 500, %d extra answers after these", p.requests, p.answers, p.failures, p.extras)
	if p.wrong > 0 {
		return verdict{broken: true, why: fmt.Sprintf("%d callers received a 200 with a body that is the answer to no run of their request", p.wrong)}, nil
	}
	return verdict{why: "the body of each 200 is the server's answer to a run of the request"}, nil
}

// A profileServer is the server of the service, and counts what its callers receive.
type profileServer struct {
	*rawServer
	record  *record
	trouble bool
	began   time.Time

	mu       sync.Mutex
	random   *rand.Rand
	runs     int
	bodies   map[string]map[string]bool // bodies of the successes, by request
	requests int
	answers  int
	failures int
	extras   int
	wrong    int
}

// serveProfile runs a request.
func (p *profileServer) serveProfile(conn net.Conn, request *http.Request, _ []byte) bool {
	id := request.Header.Get(wire.HeaderRequestID)
	time.Sleep(profileWork)
	p.mu.Lock()
	p.runs++
	run, failed, extra := p.runs, p.random.Float64() < errorShare, false
	p.answers++
	if failed {
		p.failures++
		extra = p.garbles()
	}
	body := fmt.Sprintf("profile for %s by run %d", id, run)
	if !failed {
		if p.bodies[id] == nil {
			p.bodies[id] = make(map[string]bool)
		}
		p.bodies[id][body] = true
	}
	p.mu.Unlock()
	if !failed {
		p.record.add("server: run %d of %s, answer 200", run, id)
		return p.write(conn, request, run, "200 OK", body)
	}
	p.record.add("server: run %d of %s, answer 500", run, id)
	if !p.write(conn, request, run, "500 Internal Server Error", "failed") || !extra {
		return !extra
	}
	time.Sleep(extraDelay)
	p.record.add("server: extra answer after run %d of %s", run, id)
	return p.write(conn, request, run, "200 OK", fmt.Sprintf("extra answer after the failed run %d", run))
}

// garbles reports whether an extra answer follows a failure now. p.mu is held.
func (p *profileServer) garbles() bool {
	since := time.Since(p.began) - garbleFrom
	if !p.trouble || since < 0 || since%garbleInterval > garbleFor || since > garbleTimes*garbleInterval {
		return false
	}
	limit := int(float64(p.requestRate()) * garbleFor.Seconds() * garbleShare)
	if p.extras >= limit*(1+int(since/garbleInterval)) {
		return false // the share of garbled answers is used up
	}
	p.extras++
	return true
}

// requestRate returns the requests per second of all callers, rounded down.
func (p *profileServer) requestRate() int {
	return int(profileCallers / (profilePause + profileWork).Seconds())
}

func (p *profileServer) write(conn net.Conn, request *http.Request, run int, status, body string) bool {
	_, err := io.WriteString(conn, p.head(request, status, p.stamp(request, run), fmt.Sprintf("Content-Length: %d", len(body)))+body)
	return err == nil
}

// call sends requests on a kept connection until the case ends.
func (p *profileServer) call(g *gateway, caller int) {
	var c *connection
	for n := 0; time.Since(p.began) < profileLength; n++ {
		q := &call{method: http.MethodGet, path: "/profile/one", id: fmt.Sprintf("7a%06x%08x", caller, n), timeout: 4 * time.Second}
		var err error
		if c == nil {
			if c, err = connect(g.callers); err != nil {
				p.record.add("caller %d: %v", caller, err)
				return
			}
		}
		a := answer{err: c.send(q)}
		if a.err == nil {
			a = c.receive(q)
		}
		p.check(q, &a)
		if a.err != nil || a.header.Get("Connection") == "close" {
			_ = c.Close()
			c = nil
		}
		time.Sleep(profilePause)
	}
}

// check compares an answer with those of the server.
func (p *profileServer) check(q *call, a *answer) {
	p.mu.Lock()
	p.requests++
	wrong := a.status == http.StatusOK && a.complete && !p.bodies[q.id][a.body]
	if wrong {
		p.wrong++
	}
	p.mu.Unlock()
	if wrong {
		p.record.add("caller of %s received 200, stamp %q, body %q", q.id, a.header.Get(wire.HeaderSignature), a.body)
	} else {
		p.record.add("caller of %s received %d", q.id, a.status)
	}
}
