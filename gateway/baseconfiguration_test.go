package gateway_test

import "github.com/ryeford/ryeford/platform/wire"

// testHost is the host of all routes.
const testHost = "host.example"

// kindAtMostOnce is the kind of routes whose requests run at most once: any value other than
// wire.KindIdempotent and wire.KindStream.
const kindAtMostOnce = "unsafe"

// baseConfiguration returns a configuration with one route of each kind, named after its
// prefix. "hasty" has a timeout of 200 ms; "open" needs no key.
func baseConfiguration() *wire.Configuration {
	route := func(name, kind, service string, maxAttempts int) wire.Route {
		return wire.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Service: service,
			TimeoutMs: 4000, GoalMs: 2000, Rank: 1, MaxAttempts: maxAttempts,
		}
	}
	hasty := route("hasty", kindAtMostOnce, "plain", 1)
	hasty.TimeoutMs = 200
	open := route("open", wire.KindIdempotent, "plain", 2)
	open.Public = true
	resume := route("resume", wire.KindStream, "model", 3)
	resume.Resumable = true
	rank := 3
	return &wire.Configuration{
		Version: 1,
		Routes: []wire.Route{
			route("once", kindAtMostOnce, "plain", 2),
			route("single", kindAtMostOnce, "plain", 1),
			route("safe", wire.KindIdempotent, "plain", 2),
			hasty,
			open,
			route("stream", wire.KindStream, "model", 1),
			resume,
		},
		Limits: wire.Limits{MaxBodyBytes: 65536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Accounts: &[]wire.Account{
			{Name: "bank", Keys: []string{"key-1", "key-2"}, Rank: &rank},
			{Name: "church", Keys: []string{"key-3"}},
		},
	}
}

// keyRevoked returns version 2 of baseConfiguration, in which key-2 is the only key.
func keyRevoked() *wire.Configuration {
	config := baseConfiguration()
	config.Version = 2
	config.Accounts = &[]wire.Account{{Name: "bank", Keys: []string{"key-2"}}}
	return config
}
