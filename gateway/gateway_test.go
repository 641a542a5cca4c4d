package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// promises are the statuses that callers take for the promise that a request has
// not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// TestPath plays a request of each kind.
func TestPath(t *testing.T) {
	f := startedFixture(t, nil)
	for _, test := range []struct {
		method, path, key string
		status            int
	}{
		{"POST", "/once/a", "key-1", 200},
		{"GET", "/safe/a", "key-3", 200},
		{"GET", "/open/a", "", 200},
		{"POST", "/stream/a", "key-2", 200},
		{"GET", "/none/a", "key-1", 404},
		{"GET", "/safe", "key-1", 404},
		{"GET", "/safe/a", "key-9", 401},
		{"GET", "/safe/a", "", 401},
	} {
		got := f.do(f.request(test.method, test.path, test.key, ""))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, test.status, "%s %s", test.method, test.path)
		assert.Equal(t, got.header.Get("Ryeford-Request-Id"), got.id)
		assert.Equal(t, got.header.Get("Ryeford-Server-Stamp") != "", test.status == 200)
	}
	assert.Equal(t, f.call("POST", "/stream/b").body, events(5))
}

// TestExactForward checks that a server gets what the caller sent, less what is
// not for it, plus what the system sets.
func TestExactForward(t *testing.T) {
	f := newFixture(t, baseConfig(), nil)
	server := f.addServer("plain", "p1", 0)
	f.awaitReady(true)
	f.awaitServers(1)
	request := f.request("POST", "/once/a%2Fb//c?x=%20y&x=2", "key-1", "the body")
	for name, value := range map[string]string{
		"X-Own": "kept", "Ryeford-Model": "m", "Ryeford-Token-Count": "10,2", "Ryeford-Length-Hint": "7",
		"Ryeford-Prompt-Prefix": "a1:8,b2:2", "Ryeford-Tenant": "forged", "Ryeford-Expect-Instance": "forged",
		"Ryeford-Request-Priority": "0", "Kv-From": "1.2.3.4:5/x", "Kv-Fetch": "1.2.3.4:5", "Ryeford-Hold": "h",
		"Connection": "X-Hop", "X-Hop": "dropped", "Keep-Alive": "timeout=3",
	} {
		request.Header.Set(name, value)
	}
	assert.Equal(t, f.do(request).status, 200)
	got := server.Received()[0]
	assert.Equal(t, got.Method, "POST")
	assert.Equal(t, got.Target, "/once/a%2Fb//c?x=%20y&x=2")
	assert.Equal(t, got.Body, "the body")
	for name, want := range map[string]string{
		"X-Own": "kept", "Ryeford-Model": "m", "Ryeford-Token-Count": "10,2", "Ryeford-Length-Hint": "7",
		"Ryeford-Prompt-Prefix": "a1:8,b2:2", "Ryeford-Tenant": "bank", "Ryeford-Expect-Instance": "p1",
		"Ryeford-Request-Priority": "3", "Kv-From": "", "Kv-Fetch": "", "Ryeford-Hold": "", "X-Hop": "",
		"Authorization": "", "Keep-Alive": "",
	} {
		assert.Equal(t, got.Header.Get(name), want, name)
	}
}

// TestAtMostOnce checks, for each way in which a server may fail, that a request
// that may not be repeated runs at most once, is never answered with success
// that is not the server's, and is never told not to have run though it has.
func TestAtMostOnce(t *testing.T) {
	for _, fault := range []appserver.Fault{
		appserver.FaultErrors, appserver.FaultBusy, appserver.FaultReset, appserver.FaultCut,
		appserver.FaultUnsigned, appserver.FaultEncoded, appserver.FaultGarbage, appserver.FaultHang,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := startedFixture(t, nil)
			f.setFaults(fault, -1)
			for _, path := range []string{"/once/a", "/single/a", "/hasty/a", "/stream/a"} {
				if fault == appserver.FaultHang && path != "/hasty/a" {
					continue // it would take the route's whole time
				}
				got := f.call("POST", path)
				assert.Equal(t, f.runs(got.id), 1, path)
				assert.Assert(t, !promises[got.status], "%s: %d", path, got.status)
				assert.Assert(t, got.status >= 500 || got.err != nil, "%s: %d %q", path, got.status, got.body)
			}
		})
	}
}

// TestNotRunGoesElsewhere checks that a request that a server has not run is sent
// to another one, as far as its route allows, and refused with a time otherwise.
func TestNotRunGoesElsewhere(t *testing.T) {
	f := startedFixture(t, nil)
	for _, server := range f.servers {
		server.SetFault(appserver.FaultShed, 0)
	}
	f.servers["p1"].SetFault(appserver.FaultShed, -1)
	for range 6 {
		got := f.call("POST", "/once/a")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, f.runs(got.id), 1)
	}
	f.servers["p2"].SetFault(appserver.FaultShed, -1)
	got := f.call("POST", "/single/a")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, f.runs(got.id), 0)
}

// TestRepeatable checks that a request that may be repeated is answered though
// one of two servers fails.
func TestRepeatable(t *testing.T) {
	for _, fault := range []appserver.Fault{
		appserver.FaultErrors, appserver.FaultBusy, appserver.FaultReset, appserver.FaultCut,
		appserver.FaultUnsigned, appserver.FaultEncoded, appserver.FaultGarbage, appserver.FaultShed,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := startedFixture(t, nil)
			f.servers["p1"].SetFault(fault, -1)
			for range 4 {
				got := f.call("GET", "/safe/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 200)
				assert.Equal(t, got.body, "answer to "+got.id+" of p2")
			}
		})
	}
}

// TestLastEndpointAgain checks that a request that may be repeated goes to the
// same endpoint again if that one answered with a failure and there is no
// other; one that was refused does not.
func TestLastEndpointAgain(t *testing.T) {
	f := newFixture(t, baseConfig(), nil)
	only := f.addServer("plain", "p1", 0)
	f.awaitReady(true)
	f.awaitServers(1)
	only.SetFault(appserver.FaultErrors, 1)
	got := f.call("GET", "/safe/a")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, only.Runs(got.id), 2)
	only.SetFault(appserver.FaultErrors, 2)
	got = f.call("GET", "/safe/a")
	assert.Equal(t, got.status, 500, "the endpoint's own answer")
	only.SetFault(appserver.FaultErrors, 1)
	got = f.call("POST", "/once/a")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, only.Runs(got.id), 1)
	only.SetFault(appserver.FaultShed, 1)
	got = f.call("GET", "/safe/a")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, only.Runs(got.id), 0)
}

// TestForeignAnswers checks that responses in excess, before or after the one that
// is due, reach no caller.
func TestForeignAnswers(t *testing.T) {
	for _, fault := range []appserver.Fault{appserver.FaultExtra, appserver.FaultForeign, appserver.FaultUnframed} {
		t.Run(string(fault), func(t *testing.T) {
			f := startedFixture(t, nil)
			f.setFaults(fault, -1)
			for range 10 {
				got := f.call("POST", "/once/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 200)
				assert.Assert(t, strings.HasPrefix(got.body, "answer to "+got.id+" of p"), got.body)
				assert.Equal(t, f.runs(got.id), 1)
			}
		})
	}
}

// TestResume checks that a stream that may be resumed goes on at another server,
// each event once, and that one that may not never looks complete.
func TestResume(t *testing.T) {
	f := startedFixture(t, nil)
	for _, id := range []string{"m1", "m2"} {
		f.servers[id].SetFault(appserver.FaultCut, -1)
	}
	for range 5 {
		got := f.call("POST", "/resume/a")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(5))
	}
	f.servers["m3"].SetFault(appserver.FaultCut, -1)
	got := f.call("POST", "/stream/a")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1))
	assert.Equal(t, f.runs(got.id), 1)
}

// TestCallerGone checks that a server's work ends once its caller has gone.
func TestCallerGone(t *testing.T) {
	f := startedFixture(t, nil)
	f.setFaults(appserver.FaultHang, -1)
	working := func() int {
		n := 0
		for _, server := range f.servers {
			n += server.Working()
		}
		return n
	}
	for _, path := range []string{"/safe/a", "/stream/a", "/once/a"} {
		ctx, cancel := context.WithCancel(context.Background())
		request := f.request("POST", path, "key-1", "body").WithContext(ctx)
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			_, _ = f.client.Do(request)
		}()
		f.eventually(func() bool { return working() == 1 })
		cancel()
		<-gone
		f.eventually(func() bool { return working() == 0 })
	}
}

// TestRouteTimeout checks that a request is answered once its route's time is
// over, though its caller would wait.
func TestRouteTimeout(t *testing.T) {
	f := startedFixture(t, nil)
	f.setFaults(appserver.FaultHang, -1)
	got := f.call("POST", "/hasty/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 504)
}

// TestNoConfiguration checks that a gateway that knows nothing yet says so, and
// neither 401 nor 404.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.awaitReady(false)
	f.eventually(func() bool { return f.call("GET", "/safe/a").status == 503 })
	got := f.call("GET", "/none/a")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestStaleConfiguration checks that a gateway that the store does not answer
// stops serving keys by itself, whatever is wrong with the store, and that a key
// that was revoked meanwhile stays revoked.
func TestStaleConfiguration(t *testing.T) {
	for name, fault := range map[string]rowstore.Fault{
		"silent": {Silent: true}, "busy": {Status: 503}, "many": {Status: 429}, "slow": {Slow: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Revoke = 1200 * time.Millisecond })
			assert.Equal(t, f.call("GET", "/safe/a").status, 200)
			f.store.SetFault(fault)
			f.setConfig(withoutKey())
			// A read that the store answered before the fault may still renew the lease
			// on the old configuration. Once a read has failed, none is left.
			f.eventually(func() bool { return strings.Contains(f.log.String(), "dependency=configuration") })
			f.eventually(func() bool { return f.call("GET", "/safe/a").status == 503 })
			// From here on the key works nowhere.
			assert.Equal(t, f.call("GET", "/safe/a").status, 503)
			assert.Equal(t, f.call("GET", "/none/a").status, 503)
			assert.Equal(t, f.do(f.request("GET", "/open/a", "", "")).status, 200)
			f.awaitReady(false)
			f.store.SetFault(rowstore.Fault{})
			f.awaitReady(true)
			assert.Equal(t, f.call("GET", "/safe/a").status, 401)
			assert.Equal(t, f.do(f.request("GET", "/safe/a", "key-2", "")).status, 200)
		})
	}
}

// TestDeafFeed checks that a feed that is silent while changes are made, and
// whose history is then dropped, ends with the newest configuration.
func TestDeafFeed(t *testing.T) {
	f := startedFixture(t, nil)
	f.store.SetFault(rowstore.Fault{DeafFeed: true})
	f.setConfig(withoutKey())
	f.store.ForgetHistory()
	f.store.SetFault(rowstore.Fault{})
	f.eventually(func() bool { return f.call("GET", "/safe/a").status == 401 })
}

// TestStaleReads checks that reads of the store that are older than what it has
// answered before confirm nothing: a key that is revoked meanwhile stops to work.
func TestStaleReads(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Revoke = 1200 * time.Millisecond })
	f.store.SetFault(rowstore.Fault{StaleReads: true})
	f.setConfig(withoutKey())
	f.enter("plain", "p9", "127.0.0.1:1", "draining") // the feed of the list goes on
	f.eventually(func() bool { return strings.Contains(f.log.String(), "p9") })
	f.eventually(func() bool { return f.call("GET", "/safe/a").status == 503 })
	f.store.SetFault(rowstore.Fault{})
	f.eventually(func() bool { return f.call("GET", "/safe/a").status == 401 })
}

// TestNewConfiguration checks that a change is in force once it has been read, and
// that an older version never comes back.
func TestNewConfiguration(t *testing.T) {
	f := startedFixture(t, nil)
	f.setConfig(withoutKey())
	f.eventually(func() bool { return f.call("GET", "/safe/a").status == 401 })
	old := baseConfig()
	f.setConfig(old)
	f.eventually(func() bool { return strings.Contains(f.log.String(), "version=1 revision=8") })
	assert.Equal(t, f.call("GET", "/safe/a").status, 401)
}

// TestLeavingServer checks that a server that is leaving, or gone, gets no new
// requests, and that its address serves no request for it once another server has it.
func TestLeavingServer(t *testing.T) {
	f := startedFixture(t, nil)
	f.enter("plain", "p1", "127.0.0.1:1", "draining")
	f.eventually(func() bool { return strings.Contains(f.log.String(), "draining=p1") })
	before := len(f.servers["p1"].Received())
	for range 8 {
		assert.Equal(t, f.call("POST", "/once/a").status, 200)
	}
	assert.Equal(t, len(f.servers["p1"].Received()), before)
	f.store.Remove("servers", "p2")
	f.eventually(func() bool { return f.call("POST", "/once/a").status == 503 })
}

// TestReusedAddress checks that a request never runs at a server that has taken
// over another's address.
func TestReusedAddress(t *testing.T) {
	f := startedFixture(t, nil)
	f.servers["p1"].ID = "stranger"
	f.servers["p2"].ID = "stranger"
	got := f.call("POST", "/single/a")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, f.runs(got.id), 0)
}

// TestStop checks that a gateway that is ordered to stop turns unready at once, goes
// on serving open connections, and breaks off no response.
func TestStop(t *testing.T) {
	f := startedFixture(t, nil)
	for _, id := range []string{"m1", "m2", "m3"} {
		f.servers[id].Step = 100 * time.Millisecond
	}
	request := f.request("POST", "/stream/a", "key-1", "")
	response, err := f.client.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	assert.NilError(t, err)
	f.stop()
	f.awaitReady(false)
	got := f.call("POST", "/once/a")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.close)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, first+string(rest), events(5))
}

// TestStrangers checks that what is no well-formed request is refused and runs
// nowhere.
func TestStrangers(t *testing.T) {
	f := startedFixture(t, nil)
	const head = "Host: host.example\r\nRyeford-Request-Id: s1\r\nAuthorization: Bearer key-1\r\n"
	for name, test := range map[string]struct{ request, want string }{
		"no id":           {"GET /safe/a HTTP/1.1\r\nHost: host.example\r\n\r\n", "400"},
		"garbage":         {"\x00\x01\r\n\r\n", "400"},
		"two lengths":     {"POST /once/a HTTP/1.1\r\n" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		"bad length":      {"POST /once/a HTTP/1.1\r\n" + head + "Content-Length: -3\r\n\r\n", "400"},
		"bad chunk":       {"POST /once/a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", "400"},
		"unknown coding":  {"POST /once/a HTTP/1.1\r\n" + head + "Transfer-Encoding: gzip\r\n\r\n", "501"},
		"large body":      {"POST /once/a HTTP/1.1\r\n" + head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), "413"},
		"large header":    {"GET /safe/a HTTP/1.1\r\n" + head + "X-Large: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431"},
		"bad deadline":    {"GET /safe/a HTTP/1.1\r\n" + head + "Ryeford-Deadline-Ms: soon\r\n\r\n", "400"},
		"bad prefix":      {"GET /safe/a HTTP/1.1\r\n" + head + "Ryeford-Prompt-Prefix: zz\r\n\r\n", "400"},
		"no host":         {"GET /safe/a HTTP/1.1\r\nRyeford-Request-Id: s1\r\n\r\n", "400"},
		"folded header":   {"GET /safe/a HTTP/1.1\r\n" + head + " folded: x\r\nbad header: y\r\n\r\n", "400"},
		"space before :":  {"GET /safe/a HTTP/1.1\r\n" + head + "X-A : b\r\n\r\n", "400"},
		"absolute target": {"GET http://host.example/none/a HTTP/1.1\r\n" + head + "\r\n", "404"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, test.request)
			line, err := bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 "+test.want), line)
		})
	}
	for _, server := range f.servers {
		assert.Equal(t, len(server.Received()), 0)
	}
}

// TestStopWhileNeeded checks that a gateway that is ordered to stop goes on taking
// new connections for as long as they come, and refuses what it could not finish.
func TestStopWhileNeeded(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Grace = 4 * time.Second })
	f.client.Transport.(*http.Transport).DisableKeepAlives = true
	f.stop()
	f.awaitReady(false)
	f.awaitReady(false)
	served := 0
	// Two probes have failed; a gateway that took no more connections would have
	// closed its listener half a second later.
	for since := time.Now(); time.Since(since) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		if got := f.call("GET", "/safe/a"); got.err == nil && got.status == 200 {
			served++
		}
	}
	assert.Assert(t, served > 20, "%d served", served)
	refused := false
	f.eventually(func() bool {
		got := f.call("POST", "/stream/a")
		refused = refused || (got.err == nil && got.status == 503 && got.header.Get("Retry-After") != "")
		return refused || got.err != nil
	})
	assert.Assert(t, refused)
}

// TestBodies checks that callers' bodies are bounded in sum: what does not fit is
// refused with a time, and what was kept is given back.
func TestBodies(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Memory = 16 }) // 4 MB of bodies
	f.setFaults(appserver.FaultHang, -1)
	config := baseConfig()
	config["version"] = 2
	config["limits"].(jsonMap)["maxBodyBytes"] = 3 << 20
	f.setConfig(config)
	f.eventually(func() bool { return strings.Contains(f.log.String(), "version=2") })
	large := strings.Repeat("x", 3<<20)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = f.client.Do(f.request("POST", "/once/a", "key-1", large).WithContext(ctx))
	}()
	f.eventually(func() bool { return len(f.servers["p1"].Received())+len(f.servers["p2"].Received()) == 1 })
	got := f.do(f.request("POST", "/once/a", "key-1", large))
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	cancel()
	<-first
	f.setFaults(appserver.FaultNone, 0)
	f.eventually(func() bool { return f.do(f.request("POST", "/once/a", "key-1", large)).status == 200 })
}

// TestSlowSenders checks that a caller that does not finish a header, or lets a
// connection idle for too long, is cut off at the operators' times, and that a
// later configuration changes them.
func TestSlowSenders(t *testing.T) {
	// below the times that hold if the operators set none
	const limit = 8 * time.Second
	for name, test := range map[string]struct{ limit, sends string }{
		"header": {"headerTimeoutMs", "GET /safe/a HTTP/1.1\r\nHost: host"},
		"idle":   {"idleTimeoutMs", "GET /none/a HTTP/1.1\r\nHost: host.example\r\nRyeford-Request-Id: s1\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startedFixture(t, nil)
			config := baseConfig()
			config["version"] = 2
			config["limits"] = jsonMap{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3600000, "idleTimeoutMs": 3600000, test.limit: 100}
			f.setConfig(config)
			f.eventually(func() bool { return strings.Contains(f.log.String(), "version=2") })
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.sends)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
			_, err = io.Copy(io.Discard, conn)
			assert.NilError(t, err, "the connection is still open")
		})
	}
}

// TestFirstMoments checks that a request that comes before the router has read
// the configuration is served once it has.
func TestFirstMoments(t *testing.T) {
	store := rowstore.New()
	store.SetFault(rowstore.Fault{Silent: true})
	f := newFixtureAt(t, store, baseConfig(), func(s *settings.Gateway) { s.Routing.StartPatience = conditionLimit })
	f.addServer("plain", "p1", 0)
	f.eventually(func() bool { return strings.Contains(f.log.String(), "dependency lost") })
	time.AfterFunc(50*time.Millisecond, func() { store.SetFault(rowstore.Fault{}) })
	assert.Equal(t, f.call("GET", "/safe/a").status, 200)
}
