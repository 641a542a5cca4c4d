package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRoutes checks the response to a request of each kind of route, with and without a valid key, and
// that only an endpoint's response is signed.
func TestRoutes(t *testing.T) {
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

// TestForwardedRequest checks that an endpoint receives the caller's request unchanged, except for
// hop-by-hop headers and headers that only the system may set.
func TestForwardedRequest(t *testing.T) {
	f := newFixture(t, baseConfiguration(), nil)
	server := f.addEndpoint("plain", "p1", 0)
	f.awaitReady(true)
	f.awaitEndpoints(1)
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
